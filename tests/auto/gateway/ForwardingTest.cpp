/// \file
/// Guards against a host without links to the engines of a service that refuses
/// its callers although other hosts can serve them, and against requests that
/// run twice or make more than one hop on the way over another host.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

class Forwarding : public testing::Test {
protected:
  Forwarding() {
    this->Bench.configure(1);
    this->Bench.registerEngines("desk", 4);
    this->hearPeer("h2", 10);
    this->hearPeer("h3", 20);
  }

  /// Receives a heartbeat of a ready peer.
  void hearPeer(const char *Name, std::uint16_t Port, bool CutOff = false) {
    Heartbeat Beat = heartbeatOf(Name, Port);
    Beat.Version = CutOff ? 1 : 0;
    Beat.CutOff = CutOff;
    this->Bench.receive(Name, Beat);
  }

  void end(RelayOutcome Outcome) {
    this->Bench.endAttempt(this->sent().Attempt, std::move(Outcome));
  }
  /// Makes two engines refuse connections.
  void loseEngines() {
    this->Bench.arrive("/once/1");
    this->end(RelayNeverSent{RelayNeverSent::Why::Refused});
    this->end(RelayNeverSent{RelayNeverSent::Why::Refused});
  }

  DispatchRelay sent() const { return this->Bench.last<DispatchRelay>(); }
  std::size_t sends() const { return this->Bench.all<DispatchRelay>().size(); }
  RefuseRelay refused() const { return this->Bench.last<RefuseRelay>(); }

  GatewayBench Bench;
};

TEST_F(Forwarding, BeginsWhenSeveralEnginesFailAndNoneAnswers) {
  this->Bench.arrive("/once/1");
  this->end(RelayNeverSent{RelayNeverSent::Why::Refused});
  EXPECT_FALSE(this->sent().IsForward) << "one engine may have died";
  this->end(RelayNeverSent{RelayNeverSent::Why::NotConnected});
  EXPECT_TRUE(this->sent().IsForward);
  EXPECT_TRUE(this->sent().At == (Address{"127.0.0.1", 10}) ||
              this->sent().At == (Address{"127.0.0.1", 20}));
}

TEST_F(Forwarding, DoesNotBeginWhileEnginesAnswer) {
  this->Bench.arrive("/once/1");
  this->end(RelayNeverSent{RelayNeverSent::Why::Refused});
  this->end(RelayDelivered{200, Duration(0)});
  this->Bench.arrive("/once/2");
  this->end(RelayNeverSent{RelayNeverSent::Why::Refused});
  EXPECT_FALSE(this->sent().IsForward);
}

TEST_F(Forwarding, EndsWhenAnEngineReports) {
  this->loseEngines();
  ASSERT_TRUE(this->sent().IsForward);
  this->Bench.report(UpstreamId("e1"));
  this->Bench.arrive("/once/2");
  EXPECT_FALSE(this->sent().IsForward);
}

/// Guards against engines without reports that seem to be out of reach.
TEST_F(Forwarding, EndsWhenAnEngineAnswersWithoutAReport) {
  this->loseEngines();
  this->Bench.send(
      GatewayEvent(EngineReportFailed{UpstreamId("e1"), false, true}));
  this->Bench.arrive("/once/2");
  EXPECT_FALSE(this->sent().IsForward);
}

TEST_F(Forwarding, AsksEnginesForReportsMeanwhile) {
  this->loseEngines();
  const std::size_t Before = this->Bench.all<AskReport>().size();
  this->Bench.advance(seconds(1));
  EXPECT_GT(this->Bench.all<AskReport>().size(), Before);
}

TEST_F(Forwarding, SkipsHostsThatAreCutOffToo) {
  this->hearPeer("h2", 10, true);
  this->loseEngines();
  EXPECT_EQ(this->sent().At, (Address{"127.0.0.1", 20}));
}

TEST_F(Forwarding, WithoutAnotherHostTriesEnginesAsBefore) {
  this->hearPeer("h2", 10, true);
  this->hearPeer("h3", 20, true);
  this->loseEngines();
  EXPECT_FALSE(this->sent().IsForward);
  EXPECT_EQ(this->sends(), 3U);
}

TEST_F(Forwarding, AsksAnotherHostIfOneRefuses) {
  this->loseEngines();
  const Address First = this->sent().At;
  this->end(RelayNotRun{});
  ASSERT_TRUE(this->sent().IsForward);
  EXPECT_NE(this->sent().At, First);
}

TEST_F(Forwarding, SendsNothingTwiceIfTheHopBreaks) {
  this->loseEngines();
  const std::size_t Before = this->sends();
  this->end(RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  EXPECT_EQ(this->sends(), Before);
  EXPECT_EQ(this->refused().Kind, RefusalKind::OutcomeUnknown);
}

TEST_F(Forwarding, SendsNoRepeatableRequestTwiceIfTheHopBreaks) {
  this->loseEngines();
  this->Bench.arrive("/safe/1");
  ASSERT_TRUE(this->sent().IsForward);
  const std::size_t Before = this->sends();
  this->end(RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  EXPECT_EQ(this->sends(), Before) << "the other host made all attempts";
}

/// Guards against a content that crashes engines and is sent to more of them
/// than its route allows, by two hosts in turn.
TEST_F(Forwarding, DoesNotTakeWhatMayHaveRun) {
  this->Bench.arrive("/safe/1");
  this->end(RelayNeverSent{RelayNeverSent::Why::Refused});
  this->end(RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  EXPECT_FALSE(this->sent().IsForward);
}

/// Guards against a death that is confirmed late because several engines died.
TEST_F(Forwarding, AsksAllOfAFewEnginesForReportsWhenItBegins) {
  const std::size_t Before = this->Bench.all<AskReport>().size();
  this->loseEngines();
  this->Bench.advance(milliseconds(1));
  EXPECT_GE(this->Bench.all<AskReport>().size(), Before + 4);
}

TEST_F(Forwarding, PassesTheOtherHostsFailureOn) {
  this->loseEngines();
  const DispatchRelay Forward = this->sent();
  this->end(RelayFailed{504});
  EXPECT_EQ(this->Bench.last<DeliverFailure>(),
            (DeliverFailure{Forward.Request, Forward.Attempt}));
}

TEST_F(Forwarding, IsCancelledWhenTheCallerLeaves) {
  this->loseEngines();
  this->Bench.send(Event(CallerDisconnected{this->sent().Request}));
  EXPECT_EQ(this->Bench.last<CancelRelay>().Attempt, this->sent().Attempt);
}

TEST_F(Forwarding, MakesNoSecondHop) {
  this->loseEngines();
  const std::size_t Before = this->sends();
  RelayHead Head = GatewayBench::headOf(RequestId(99), "/once/1");
  Head.IsForwarded = true;
  this->Bench.send(GatewayEvent(RelayArrived{Head}));
  EXPECT_EQ(this->sends(), Before);
  EXPECT_EQ(this->refused().Kind, RefusalKind::NotRun);
}

TEST_F(Forwarding, TellsPeersThatThisHostIsCutOffAndWhenThatEnds) {
  this->loseEngines();
  this->Bench.advance(milliseconds(10));
  EXPECT_TRUE(this->Bench.sent<Heartbeat>().back().CutOff);
  this->Bench.report(UpstreamId("e1"));
  this->Bench.advance(milliseconds(10));
  EXPECT_FALSE(this->Bench.sent<Heartbeat>().back().CutOff);
}

TEST_F(Forwarding, CutOffHostsAreNotNamedToCallersWhileOthersServe) {
  this->hearPeer("h2", 10, true);
  this->Bench.send(
      Event(ResolveRequest{ResolveRequestId(1), TeamId(), ZoneId("z")}));
  EXPECT_EQ(this->Bench.resolved().size(), 2U);
  this->hearPeer("h3", 20, true);
  this->loseEngines();
  this->Bench.send(
      Event(ResolveRequest{ResolveRequestId(2), TeamId(), ZoneId("z")}));
  EXPECT_EQ(this->Bench.resolved().size(), 3U) << "nobody is left out";
}

} // namespace
} // namespace banyanpick
