/// \file
/// Guards against crashes of engines that are counted late, so that their
/// content crashes further engines, or counted although no engine crashed.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

#include <set>

namespace banyanpick {
namespace {

class CrashDetection : public testing::Test {
protected:
  CrashDetection() {
    this->Bench.configure(1);
    this->Bench.registerEngines("desk", 1);
  }

  /// All requests have the same content.
  RequestId arrive() {
    return this->Bench.arrive("/once/1", 0, seconds(5), this->Content);
  }
  /// Sends a request and resets its connection.
  void loseConnection() {
    this->arrive();
    this->end(RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  }
  void end(const RelayOutcome &Outcome) {
    this->Bench.endAttempt(this->Bench.last<DispatchRelay>().Attempt, Outcome);
  }
  std::size_t crashes() const {
    return this->Bench.logged(events::ContentCrashed);
  }
  std::size_t reportRequests() const {
    return this->Bench.all<AskReport>().size();
  }

  const UpstreamId Engine{"e1"};
  const Fingerprint Content{5};
  GatewayBench Bench;
};

TEST_F(CrashDetection, CountsACrashOnceAReportRequestIsRefused) {
  this->loseConnection();
  ASSERT_EQ(this->reportRequests(), 1U);
  EXPECT_EQ(this->Bench.last<AskReport>().Engine, this->Engine);
  EXPECT_EQ(this->crashes(), 0U);
  this->Bench.send(GatewayEvent(EngineReportFailed{this->Engine, true}));
  EXPECT_EQ(this->crashes(), 1U);
}

TEST_F(CrashDetection, CountsNothingIfTheEngineReportsOrIsSilent) {
  this->loseConnection();
  this->Bench.report(this->Engine);
  this->Bench.send(GatewayEvent(EngineReportFailed{this->Engine, false}));
  EXPECT_EQ(this->crashes(), 0U);
}

TEST_F(CrashDetection, CountsACrashOnceAnotherEngineHasTheAddress) {
  this->loseConnection();
  this->arrive();
  RelayNotRun Other;
  Other.OtherEngine = true;
  this->end(Other);
  EXPECT_EQ(this->crashes(), 1U);
}

TEST_F(CrashDetection, AsksAnEngineThatLosesManyConnectionsOnce) {
  for (int Count = 0; Count < 3; ++Count)
    this->loseConnection();
  EXPECT_EQ(this->reportRequests(), 1U);
  // Connections were lost after the request.
  this->Bench.advance(milliseconds(110));
  EXPECT_EQ(this->reportRequests(), 2U);
  this->Bench.advance(seconds(1));
  EXPECT_EQ(this->reportRequests(), 2U);
}

/// Guards against a death that is missed because the process that ended still
/// accepted a connection.
TEST_F(CrashDetection, AsksAgainWhileReportsAreLost) {
  this->loseConnection();
  this->Bench.send(GatewayEvent(EngineReportFailed{this->Engine, false}));
  EXPECT_EQ(this->reportRequests(), 1U);
  this->Bench.advance(milliseconds(110));
  ASSERT_EQ(this->reportRequests(), 2U);
  this->Bench.send(GatewayEvent(EngineReportFailed{this->Engine, true}));
  EXPECT_EQ(this->crashes(), 1U);
}

TEST_F(CrashDetection, AsksAnEngineThatNeverAnswersAFewTimes) {
  this->loseConnection();
  for (int Count = 0; Count < 20; ++Count) {
    this->Bench.send(GatewayEvent(EngineReportFailed{this->Engine, false}));
    this->Bench.advance(milliseconds(110));
  }
  EXPECT_LE(this->reportRequests(), 4U);
}

TEST_F(CrashDetection, AsksNoEngineThatRequestedABackoff) {
  this->arrive();
  this->Bench.requestBackoff(this->Engine, seconds(3));
  this->end(RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  EXPECT_EQ(this->reportRequests(), 0U);
}

/// Guards against contents that are quarantined because the host's own links to
/// engines are reset.
TEST_F(CrashDetection, CountsNoCrashWhileAllEnginesAreOutOfReach) {
  this->Bench.registerEngines("desk", 4);
  // The first refusal may be a death; two engines and no answer are not.
  this->loseConnection();
  this->loseConnection();
  for (const char *Name : {"e1", "e2", "e3", "e4"})
    this->Bench.send(GatewayEvent(EngineReportFailed{UpstreamId(Name), true}));
  EXPECT_LE(this->crashes(), 1U);
  // The links work again, and all engines live.
  for (const char *Name : {"e1", "e2", "e3", "e4"})
    this->Bench.report(UpstreamId(Name));
  this->Bench.advance(seconds(1));
  EXPECT_LE(this->crashes(), 1U);
}

/// Guards against deaths that are missed because several engines died at once.
TEST_F(CrashDetection, CountsCrashesOnceAnotherEngineAnswers) {
  this->Bench.registerEngines("desk", 4);
  this->loseConnection();
  const UpstreamId First = this->Bench.last<DispatchRelay>().Engine;
  this->loseConnection();
  const UpstreamId Second = this->Bench.last<DispatchRelay>().Engine;
  ASSERT_NE(First, Second);
  for (const UpstreamId &Dead : {First, Second})
    this->Bench.send(GatewayEvent(EngineReportFailed{Dead, true}));
  for (const char *Name : {"e1", "e2", "e3", "e4"})
    if (UpstreamId(Name) != First && UpstreamId(Name) != Second)
      this->Bench.report(UpstreamId(Name));
  this->Bench.advance(milliseconds(5));
  for (const UpstreamId &Dead : {First, Second})
    this->Bench.send(GatewayEvent(EngineReportFailed{Dead, true}));
  EXPECT_EQ(this->crashes(), 2U);
}

/// Guards against crashes that are not counted because several dead engines,
/// which refuse again and again, make their service look out of reach.
TEST_F(CrashDetection, CountsCrashesWhileDeadEnginesRefuseAndOthersAnswer) {
  this->Bench.registerEngines("desk", 6);
  std::set<UpstreamId> Dead;
  for (int Crash = 0; Crash < 3; ++Crash) {
    this->loseConnection();
    Dead.insert(this->Bench.last<DispatchRelay>().Engine);
  }
  ASSERT_EQ(Dead.size(), 3U);
  for (int Round = 0; Round < 5; ++Round) {
    for (const UpstreamId &Engine : Dead)
      this->Bench.send(GatewayEvent(EngineReportFailed{Engine, true}));
    for (const char *Name : {"e1", "e2", "e3", "e4", "e5", "e6"})
      if (!Dead.contains(UpstreamId(Name)))
        this->Bench.report(UpstreamId(Name));
    this->Bench.advance(milliseconds(20));
  }
  EXPECT_EQ(this->crashes(), 3U);
}

/// Guards against quarantines that are lost when all hosts restart.
TEST_F(CrashDetection, StoresAQuarantineOnce) {
  this->Bench.registerEngines("desk", 4);
  for (int Count = 0; Count < 3; ++Count) {
    EXPECT_TRUE(this->Bench.all<StoreQuarantine>().empty());
    this->loseConnection();
    this->Bench.send(GatewayEvent(
        EngineReportFailed{this->Bench.last<DispatchRelay>().Engine, true}));
  }
  EXPECT_EQ(this->crashes(), 3U);
  ASSERT_EQ(this->Bench.all<StoreQuarantine>().size(), 1U);
  EXPECT_TRUE(this->Bench.last<StoreQuarantine>().Present);
}

/// Guards against a quarantine that no host stores, as each learns of the last
/// crash from another one.
TEST_F(CrashDetection, StoresAQuarantineThatAPeerCompletes) {
  this->loseConnection();
  this->Bench.send(GatewayEvent(EngineReportFailed{this->Engine, true}));
  for (const char *Name : {"x1", "x2"})
    this->Bench.reportCrash(this->Content, Name);
  ASSERT_EQ(this->Bench.all<StoreQuarantine>().size(), 1U);
  EXPECT_EQ(this->Bench.last<StoreQuarantine>(),
            (StoreQuarantine{this->Content, true, true}))
      << "each crash came after the content was sent again";
}

TEST_F(CrashDetection, RefusesAContentWhoseQuarantineWasStored) {
  const RequestId Before = this->arrive();
  this->Bench.send(
      GatewayEvent(QuarantinesRead{{StoredQuarantine{this->Content, true}}}));
  EXPECT_EQ(this->Bench.last<RefuseRelay>().Request, Before);
  const RequestId After = this->arrive();
  EXPECT_EQ(this->Bench.last<RefuseRelay>().Request, After);
  EXPECT_EQ(this->Bench.last<RefuseRelay>().Kind, RefusalKind::NotRun);
}

/// Most hosts do not read the store and learn of its quarantines from peers.
TEST_F(CrashDetection, TellsPeersOfStoredQuarantines) {
  this->Bench.receive("h2", heartbeatOf("h2", 10));
  this->Bench.send(
      GatewayEvent(QuarantinesRead{{StoredQuarantine{this->Content, true}}}));
  ASSERT_EQ(this->Bench.sent<QuarantineNotice>().size(), 1U);
  this->Bench.receive("h3", heartbeatOf("h3", 20));
  ASSERT_EQ(this->Bench.sent<QuarantineNotice>().size(), 2U);
  GatewayBench Peer;
  Peer.configure(1);
  Peer.receive("h1", this->Bench.sent<QuarantineNotice>().back());
  const RequestId Refused =
      Peer.arrive("/once/1", 0, seconds(5), this->Content);
  EXPECT_EQ(Peer.last<RefuseRelay>().Request, Refused);
  EXPECT_TRUE(Peer.sent<QuarantineNotice>().empty())
      << "only hosts that read it from the store tell others";
}

/// Guards against a record of a content that another one explained a moment
/// later, which hosts that start would take for a suspicion.
TEST_F(CrashDetection, RemovesTheRecordOfAContentWithABetterSuspect) {
  RelayDelivered Whole;
  Whole.End = RelayDelivered::Ending::Explicit;
  this->arrive();
  this->end(Whole);
  this->Bench.advance(seconds(4));
  this->loseConnection();
  this->Bench.send(GatewayEvent(EngineReportFailed{this->Engine, true}));
  for (const char *Name : {"x1", "x2"})
    this->Bench.reportCrash(this->Content, Name);
  ASSERT_EQ(this->Bench.last<StoreQuarantine>(),
            (StoreQuarantine{this->Content, true}));
  for (const char *Name : {"e1", "x1", "x2"})
    this->Bench.reportCrash(Fingerprint(6), Name);
  this->Bench.registerEngines("desk", 2, 40);
  this->arrive();
  this->end(Whole);
  EXPECT_EQ(this->Bench.last<StoreQuarantine>(),
            (StoreQuarantine{this->Content, false}));
}

/// Guards against a stored quarantine that nothing ends, as no request with its
/// content is sent any more.
TEST_F(CrashDetection, ProbesAContentWhoseQuarantineWasOnlySuspected) {
  this->Bench.send(
      GatewayEvent(QuarantinesRead{{StoredQuarantine{this->Content}}}));
  this->Bench.advance(seconds(3));
  this->arrive();
  this->arrive();
  EXPECT_TRUE(this->Bench.all<DispatchRelay>().empty());
  this->Bench.advance(milliseconds(1100));
  ASSERT_EQ(this->Bench.all<DispatchRelay>().size(), 1U) << "one is the probe";
  EXPECT_EQ(this->Bench.logged(events::ContentProbed), 1U);
  RelayDelivered Whole;
  Whole.End = RelayDelivered::Ending::Explicit;
  this->end(Whole);
  EXPECT_EQ(this->Bench.logged(events::QuarantineRefuted), 1U);
  EXPECT_EQ(this->Bench.last<StoreQuarantine>(),
            (StoreQuarantine{this->Content, false}));
  this->Bench.advance(milliseconds(100));
  EXPECT_EQ(this->Bench.all<DispatchRelay>().size(), 2U);
}

TEST_F(CrashDetection, RefusesAContentWhoseProbeCrashed) {
  this->Bench.registerEngines("desk", 3);
  this->Bench.send(
      GatewayEvent(QuarantinesRead{{StoredQuarantine{this->Content}}}));
  this->Bench.advance(milliseconds(4100));
  const RequestId Probe = this->arrive();
  ASSERT_EQ(this->Bench.all<DispatchRelay>().size(), 1U);
  const UpstreamId Probed = this->Bench.last<DispatchRelay>().Engine;
  this->end(RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  this->Bench.send(GatewayEvent(EngineReportFailed{Probed, true}));
  const RequestId Next = this->arrive();
  EXPECT_EQ(this->Bench.last<RefuseRelay>().Request, Next);
  this->Bench.advance(seconds(10));
  EXPECT_EQ(this->Bench.all<DispatchRelay>().size(), 1U)
      << "the probe is not tried twice: " << Probe.Value;
}

/// Guards against a host that starts and does not learn of a quarantine,
/// because the first message to it is lost.
TEST_F(CrashDetection, TellsAHostThatStartsAgain) {
  this->Bench.receive("h2", heartbeatOf("h2", 10));
  this->Bench.send(
      GatewayEvent(QuarantinesRead{{StoredQuarantine{this->Content}}}));
  const std::size_t Before = this->Bench.sent<QuarantineNotice>().size();
  this->Bench.advance(milliseconds(300));
  EXPECT_EQ(this->Bench.sent<QuarantineNotice>().size(), Before + 1);
  this->Bench.advance(seconds(10));
  EXPECT_EQ(this->Bench.sent<QuarantineNotice>().size(), Before + 4);
}

/// Guards against a host that starts among hundreds and gets each crash from
/// each of them.
TEST_F(CrashDetection, AHostThatStartsHearsOfCrashesFromFewHosts) {
  constexpr std::uint16_t Hosts = 100;
  for (std::uint16_t Index = 0; Index < Hosts; ++Index) {
    const std::string Name = "p" + std::to_string(Index);
    this->Bench.receive(Name.c_str(),
                        heartbeatOf(Name.c_str(), 1000 + Index * 2));
  }
  this->Bench.reportCrash(this->Content, "e1");
  std::size_t Told = 0;
  for (std::uint16_t Index = 0; Index < Hosts; ++Index) {
    const std::string Name = "q" + std::to_string(Index);
    const std::size_t Before = this->Bench.sent<QuarantineNotice>().size();
    this->Bench.receive(Name.c_str(),
                        heartbeatOf(Name.c_str(), 2000 + Index * 2));
    Told += this->Bench.sent<QuarantineNotice>().size() - Before;
  }
  // Eight of more than a hundred tell each of the hosts that start.
  EXPECT_GE(Told, 1U);
  EXPECT_LE(Told, 20U);
}

TEST_F(CrashDetection, RemovesAStoredQuarantineWhenItExpires) {
  this->Bench.send(
      GatewayEvent(QuarantinesRead{{StoredQuarantine{this->Content}}}));
  this->Bench.advance(seconds(601));
  EngineChange Removal;
  Removal.Engine.Id = this->Engine;
  Removal.Removed = true;
  Removal.Offset = 30;
  this->Bench.send(GatewayEvent(EnginesRead{{Removal}, false, 31}));
  // The registration may only be late, as the store was not read for long.
  this->Bench.advance(seconds(3));
  EXPECT_EQ(this->Bench.last<StoreQuarantine>(),
            (StoreQuarantine{this->Content, false}));
}

/// Guards against a quarantine of content whose engine has not died.
class UnsentAttempt : public CrashDetection,
                      public testing::WithParamInterface<RelayNeverSent::Why> {
};

TEST_P(UnsentAttempt, CountsACrashOnlyIfTheConnectionIsRefused) {
  this->loseConnection();
  this->arrive();
  this->end(RelayNeverSent{GetParam()});
  EXPECT_EQ(this->crashes(),
            GetParam() == RelayNeverSent::Why::Refused ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(ForEachReason, UnsentAttempt,
                         testing::Values(RelayNeverSent::Why::NotConnected,
                                         RelayNeverSent::Why::Refused,
                                         RelayNeverSent::Why::Withdrawn));

/// Guards against requests for reports whose answers cause more of them: dead
/// engines make the service look out of reach, and others end that at once.
TEST_F(CrashDetection, AsksDeadEnginesSeldomWhileOthersAnswer) {
  this->Bench.registerEngines("desk", 8);
  const std::set<UpstreamId> Dead{UpstreamId("e1"), UpstreamId("e2"),
                                  UpstreamId("e3")};
  for (int Count = 0; Count < 8; ++Count)
    this->loseConnection();
  constexpr int Seconds = 2;
  std::size_t Answered = 0;
  for (int Step = 0; Step < Seconds * 500; ++Step) {
    const auto Asked = this->Bench.all<AskReport>();
    const std::size_t Until = Asked.size();
    for (; Answered < Until; ++Answered)
      if (Dead.contains(Asked[Answered].Engine))
        this->Bench.send(
            GatewayEvent(EngineReportFailed{Asked[Answered].Engine, true}));
      else
        this->Bench.report(Asked[Answered].Engine);
    this->Bench.advance(milliseconds(2));
  }
  // Each engine at most once in verify_interval and once in probe_interval.
  EXPECT_LE(this->reportRequests(), 8U * Seconds * (10 + 4));
}

} // namespace
} // namespace banyanpick
