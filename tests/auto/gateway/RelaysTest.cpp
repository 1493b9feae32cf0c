/// \file
/// Guards against a request that may run once and runs twice, against retries
/// that are allowed and not made, and against requests without a final answer.
/// These come about when an engine fails, is silent, restarts or backs off, and
/// when a caller disconnects.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>

namespace banyanpick {
namespace {

RelayBroken reset() { return {RelayBroken::Why::Reset, false, std::nullopt}; }

class Relays : public testing::Test {
protected:
  Relays() {
    this->Bench.configure(1);
    this->Bench.registerEngines("desk", 3);
  }

  DispatchRelay sent() const { return this->Bench.last<DispatchRelay>(); }
  std::size_t sends() const { return this->Bench.all<DispatchRelay>().size(); }
  RefuseRelay refused() const { return this->Bench.last<RefuseRelay>(); }

  GatewayBench Bench;
};

TEST(RelaysAtStart, AreRefusedAsNotRunWithoutConfiguration) {
  GatewayBench Bench;
  Bench.arrive("/safe/1");
  EXPECT_EQ(Bench.last<RefuseRelay>().Kind, RefusalKind::NotRun);
  EXPECT_GT(Bench.last<RefuseRelay>().RetryAfter, Duration(0));
}

TEST_F(Relays, WithUnknownPathOrKeyAreRefusedAndNotSent) {
  this->Bench.arrive("/nowhere/1");
  EXPECT_EQ(this->refused().Kind, RefusalKind::NoSuchRoute);
  RelayHead Head = GatewayBench::headOf(RequestId(99), "/safe/1");
  Head.Key = "wrong";
  this->Bench.send(GatewayEvent(RelayArrived{Head}));
  EXPECT_EQ(this->refused().Kind, RefusalKind::UnknownKey);
  EXPECT_EQ(this->sends(), 0U);
}

TEST_F(Relays, AreSentWithTeamAndEngineAndWithoutKey) {
  this->Bench.arrive("/safe/1");
  EXPECT_EQ(this->sent().Team, TeamId("house"));
  EXPECT_TRUE(this->sent().DropKey);
  EXPECT_FALSE(this->sent().Engine.Value.empty());
}

TEST_F(Relays, AtMostOnceIsNotRetriedAfterALostAnswer) {
  this->Bench.arrive("/once/1");
  this->Bench.endAttempt(this->sent().Attempt, reset());
  EXPECT_EQ(this->sends(), 1U);
  EXPECT_EQ(this->refused().Kind, RefusalKind::OutcomeUnknown);
}

TEST_F(Relays, AtMostOnceIsRetriedWhenItDidNotRun) {
  this->Bench.arrive("/once/1");
  const UpstreamId First = this->sent().Engine;
  this->Bench.endAttempt(this->sent().Attempt, RelayNeverSent{});
  EXPECT_EQ(this->sends(), 2U);
  EXPECT_NE(this->sent().Engine, First);
  this->Bench.endAttempt(this->sent().Attempt, RelayNotRun{});
  EXPECT_EQ(this->sends(), 3U);
  EXPECT_TRUE(this->sent().Fresh);
}

TEST_F(Relays, AtMostOnceIsNotRetriedAfterASilentEngine) {
  this->Bench.arrive("/once/1");
  this->Bench.advance(seconds(3));
  EXPECT_EQ(this->sends(), 1U);
  EXPECT_EQ(this->refused().Kind, RefusalKind::TimedOut);
  EXPECT_EQ(this->Bench.all<CancelRelay>().size(), 1U);
}

TEST_F(Relays, RepeatableIsRetriedOnASecondEngineAndNoThird) {
  this->Bench.arrive("/safe/1");
  const UpstreamId First = this->sent().Engine;
  this->Bench.endAttempt(this->sent().Attempt, reset());
  EXPECT_EQ(this->sends(), 2U);
  EXPECT_NE(this->sent().Engine, First);
  this->Bench.endAttempt(this->sent().Attempt, reset());
  EXPECT_EQ(this->sends(), 2U);
  EXPECT_EQ(this->refused().Kind, RefusalKind::OutcomeUnknown);
}

TEST_F(Relays, DeliverTheFailureWhenTheSecondEngineFailsToo) {
  const RequestId Id = this->Bench.arrive("/safe/1");
  this->Bench.endAttempt(this->sent().Attempt, RelayFailed{500});
  const AttemptId Second = this->sent().Attempt;
  this->Bench.endAttempt(Second, RelayFailed{500});
  EXPECT_EQ(this->Bench.last<DeliverFailure>(), (DeliverFailure{Id, Second}));
  EXPECT_TRUE(this->Bench.all<RefuseRelay>().empty());
}

TEST_F(Relays, DeliverAClientErrorOfAnEngineWithoutRetry) {
  this->Bench.arrive("/safe/1");
  this->Bench.endAttempt(this->sent().Attempt, RelayFailed{422});
  EXPECT_EQ(this->sends(), 1U);
  EXPECT_EQ(this->Bench.all<DeliverFailure>().size(), 1U);
}

TEST_F(Relays, RepeatableIsMovedFromASilentEngineToAnother) {
  this->Bench.arrive("/safe/1");
  const DispatchRelay First = this->sent();
  this->Bench.advance(milliseconds(1600));
  EXPECT_EQ(this->sends(), 2U);
  EXPECT_EQ(this->Bench.last<CancelRelay>().Attempt, First.Attempt);
}

TEST_F(Relays, LiveAttemptIsNotAbandonedWhenNoOtherEngineIsOpen) {
  this->Bench.arrive("/safe/1");
  const UpstreamId Live = this->sent().Engine;
  for (const char *Engine : {"e1", "e2", "e3"})
    if (UpstreamId(Engine) != Live)
      this->Bench.requestBackoff(UpstreamId(Engine), seconds(10));
  this->Bench.advance(milliseconds(1600));
  EXPECT_EQ(this->sends(), 1U);
  EXPECT_TRUE(this->Bench.all<CancelRelay>().empty());
  EXPECT_TRUE(this->Bench.all<RefuseRelay>().empty());
}

TEST_F(Relays, AreRefusedUntilTheFirstOfAllEnginesEndsItsBackoff) {
  this->Bench.requestBackoff(UpstreamId("e1"), seconds(3));
  this->Bench.requestBackoff(UpstreamId("e2"), milliseconds(500));
  this->Bench.requestBackoff(UpstreamId("e3"), seconds(2));
  this->Bench.arrive("/safe/1");
  EXPECT_EQ(this->sends(), 0U);
  ASSERT_EQ(this->refused().Kind, RefusalKind::NotRun);
  EXPECT_GE(this->refused().RetryAfter, milliseconds(500));
  // The delay is at most a third of the remaining time, here of the route's
  // time limit.
  EXPECT_LE(this->refused().RetryAfter, Duration(seconds(2)) / 3);
}

TEST_F(Relays, AreRefusedWithTheBackoffsEndWhenItOutlastsTheCaller) {
  for (const char *Engine : {"e1", "e2", "e3"})
    this->Bench.requestBackoff(UpstreamId(Engine), seconds(60));
  this->Bench.arrive("/safe/1");
  ASSERT_EQ(this->refused().Kind, RefusalKind::NotRun);
  EXPECT_GE(this->refused().RetryAfter, seconds(60));
  EXPECT_LE(this->refused().RetryAfter, seconds(75));
}

TEST_F(Relays, AreSentToAnEngineAgainAfterItsBackoff) {
  this->Bench.requestBackoff(UpstreamId("e1"), seconds(3));
  this->Bench.requestBackoff(UpstreamId("e1"), seconds(1));
  this->Bench.requestBackoff(UpstreamId("e2"), seconds(60));
  this->Bench.requestBackoff(UpstreamId("e3"), seconds(60));
  this->Bench.advance(milliseconds(2900));
  this->Bench.arrive("/safe/1");
  EXPECT_EQ(this->sends(), 0U) << "a shorter backoff does not end a longer one";
  this->Bench.advance(milliseconds(200));
  this->Bench.arrive("/safe/2");
  ASSERT_EQ(this->sends(), 1U);
  EXPECT_EQ(this->sent().Engine, UpstreamId("e1"));
}

TEST_F(Relays, AreSentToAnEngineThatBacksOffFromAPeerWhenNoOtherIsOpen) {
  EngineSignals Signals;
  for (const char *Engine : {"e1", "e2"})
    Signals.Backoffs.push_back({UpstreamId(Engine), 5000});
  this->Bench.receive("h2", Signals);
  this->Bench.arrive("/safe/1");
  EXPECT_EQ(this->sent().Engine, UpstreamId("e3"))
      << "the engine without a reported backoff is preferred";
  this->Bench.requestBackoff(UpstreamId("e3"), seconds(60));
  this->Bench.arrive("/safe/2");
  EXPECT_NE(this->sent().Engine, UpstreamId("e3"));
  EXPECT_EQ(this->sends(), 2U);
}

TEST_F(Relays, AreCancelledWhenTheCallerDisconnects) {
  const RequestId Id = this->Bench.arrive("/safe/1");
  this->Bench.send(Event(CallerDisconnected{Id}));
  EXPECT_EQ(this->Bench.last<CancelRelay>().Attempt, this->sent().Attempt);
  this->Bench.endAttempt(this->sent().Attempt, reset());
  EXPECT_EQ(this->sends(), 1U);
}

TEST_F(Relays, EndAtTheRoutesTimeLimit) {
  this->Bench.arrive("/safe/1");
  this->Bench.advance(milliseconds(2000));
  EXPECT_TRUE(this->Bench.all<RefuseRelay>().empty());
  this->Bench.advance(milliseconds(100));
  EXPECT_EQ(this->refused().Kind, RefusalKind::TimedOut);
}

TEST_F(Relays, WaitWithoutAnyEngineAndAreThenRefusedAsNotRun) {
  this->Bench.arrive("/stream/1", 5000);
  EXPECT_EQ(this->sends(), 0U);
  this->Bench.advance(seconds(2));
  EXPECT_EQ(this->refused().Kind, RefusalKind::NotRun);
  EXPECT_GT(this->refused().RetryAfter, Duration(0));
}

TEST_F(Relays, ThatWaitAreSentToANewEngine) {
  this->Bench.arrive("/stream/1", 5000);
  this->Bench.registerEngines("ring", 1, 50);
  this->Bench.advance(milliseconds(100));
  EXPECT_EQ(this->sends(), 1U);
}

TEST_F(Relays, StreamResumesAtAnotherEngineAfterItsLastEvent) {
  this->Bench.registerEngines("ring", 3, 50);
  this->Bench.arrive("/stream/1", 5000);
  this->Bench.send(GatewayEvent(RelayBegan{this->sent().Attempt}));
  this->Bench.endAttempt(this->sent().Attempt,
                         RelayBroken{RelayBroken::Why::Reset, true, 7});
  EXPECT_EQ(this->sends(), 2U);
  EXPECT_EQ(this->sent().LastEvent, 7U);
}

TEST_F(Relays, StreamIsBrokenOffWhenItCannotResume) {
  this->Bench.registerEngines("ring", 3, 50);
  const RequestId Id = this->Bench.arrive("/stream/1", 5000);
  for (int Round = 0; Round < 2; ++Round) {
    this->Bench.send(GatewayEvent(RelayBegan{this->sent().Attempt}));
    this->Bench.endAttempt(
        this->sent().Attempt,
        RelayBroken{RelayBroken::Why::Reset, true, 7 + Round});
  }
  EXPECT_EQ(this->Bench.last<BreakRelay>().Request, Id);
  EXPECT_TRUE(this->Bench.all<RefuseRelay>().empty());
}

TEST_F(Relays, AreNotSentToAnEngineWhoseAddressIsTaken) {
  this->Bench.arrive("/once/1");
  const UpstreamId Old = this->sent().Engine;
  RelayNotRun Other;
  Other.OtherEngine = true;
  this->Bench.endAttempt(this->sent().Attempt, Other);
  for (int Round = 0; Round < 30; ++Round) {
    this->Bench.arrive("/once/2");
    EXPECT_NE(this->sent().Engine, Old);
    this->Bench.endAttempt(this->sent().Attempt, RelayDelivered{});
  }
}

TEST_F(Relays, AreServedByAStoppingHostUntilItIsIdle) {
  this->Bench.send(Event(StopRequest{}));
  EXPECT_EQ(this->Bench.all<CloseCallers>().size(), 1U);
  this->Bench.advance(seconds(2));
  this->Bench.arrive("/once/1");
  EXPECT_EQ(this->sends(), 1U);
  this->Bench.advance(milliseconds(1700));
  EXPECT_FALSE(this->Bench.hasStopped()) << "a request is still running";
  this->Bench.endAttempt(this->sent().Attempt, RelayDelivered{});
  this->Bench.advance(milliseconds(200));
  EXPECT_TRUE(this->Bench.hasStopped());
}

TEST_F(Relays, ContentThatCrashedThreeEnginesIsNotRun) {
  const Fingerprint Content(5);
  for (const char *Engine : {"x1", "x2", "x3"})
    this->Bench.reportCrash(Content, Engine);
  this->Bench.arrive("/safe/1", 0, seconds(5), Content);
  EXPECT_EQ(this->sends(), 0U);
  EXPECT_EQ(this->refused().Kind, RefusalKind::NotRun);
}

RelayOutcome anyOutcome() {
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    return RelayNeverSent{};
  case 1:
    return RelayNotRun{};
  case 2:
    return RelayDelivered{};
  case 3:
    return RelayFailed{500};
  case 4:
    return RelayBroken{RelayBroken::Why::Silent, false, std::nullopt};
  default:
    return reset();
  }
}

bool mayHaveRun(const RelayOutcome &Outcome) {
  return !std::holds_alternative<RelayNeverSent>(Outcome) &&
         !std::holds_alternative<RelayNotRun>(Outcome);
}

/// Guards against a second run and a second final answer of an at-most-once
/// request under random outcomes of its attempts.
RC_GTEST_PROP(RelaysProperty, RunAtMostOnceAndGetOneFinalAnswer, ()) {
  GatewayBench Bench;
  Bench.configure(1);
  Bench.registerEngines("desk", 4);
  std::vector<RequestId> Once;
  const auto Arrivals = *rc::gen::inRange(1, 12);
  Once.reserve(static_cast<std::size_t>(Arrivals));
  for (int Each = 0; Each < Arrivals; ++Each)
    Once.push_back(Bench.arrive("/once/x"));
  std::map<RequestId, int> Runs;
  std::size_t Ended = 0;
  while (Ended < Bench.all<DispatchRelay>().size() && Ended < 300) {
    const DispatchRelay Next = Bench.all<DispatchRelay>()[Ended++];
    const RelayOutcome Outcome = anyOutcome();
    Runs[Next.Request] += mayHaveRun(Outcome) ? 1 : 0;
    Bench.endAttempt(Next.Attempt, Outcome);
    Bench.advance(milliseconds(*rc::gen::inRange(0, 60)));
  }
  Bench.advance(seconds(6));
  for (const auto &[Id, Count] : Runs)
    RC_ASSERT(Count <= 1);
  for (const RequestId &Id : Once) {
    int Answers = 0;
    for (const RefuseRelay &Each : Bench.all<RefuseRelay>()) {
      Answers += Each.Request == Id ? 1 : 0;
      // A request that is refused as not run must not have run.
      if (Each.Request == Id && Each.Kind == RefusalKind::NotRun)
        RC_ASSERT(Runs[Id] == 0);
    }
    for (const DeliverFailure &Each : Bench.all<DeliverFailure>())
      Answers += Each.Request == Id ? 1 : 0;
    RC_ASSERT(Answers <= 1);
  }
}

TEST_F(Relays, OfARestartedEngineAreRetriedElsewhereAtOnce) {
  this->Bench.arrive("/safe/1");
  const DispatchRelay First = this->sent();
  this->Bench.report(UpstreamId(First.Engine.Value + "@5000"));
  EXPECT_EQ(this->Bench.last<CancelRelay>().Attempt, First.Attempt);
  ASSERT_EQ(this->sends(), 2U);
  EXPECT_NE(this->sent().Engine, First.Engine);
}

TEST_F(Relays, AtMostOnceEndsAtOnceWithARestartedEngine) {
  this->Bench.arrive("/once/1");
  this->Bench.report(UpstreamId(this->sent().Engine.Value + "@5000"));
  EXPECT_EQ(this->sends(), 1U);
  EXPECT_EQ(this->refused().Kind, RefusalKind::OutcomeUnknown);
}

TEST_F(Relays, AreRetriedWhenAHelperOfTheirPrefillRestarts) {
  this->Bench.registerEngines("ring", 6, 10);
  this->Bench.arrive("/review/1", 300'000, seconds(30));
  const DispatchRelay First = this->sent();
  ASSERT_FALSE(First.Helpers.empty());
  const UpstreamId Helper = First.Helpers.back().Engine;
  this->Bench.report(UpstreamId(Helper.Value + "@5000"));
  ASSERT_EQ(this->sends(), 2U);
  for (const HelperEngine &Chosen : this->sent().Helpers)
    EXPECT_NE(Chosen.Engine, Helper);
}

/// Guards against long prompts that delay each other more than needed: several
/// arrive at the same moment and share the engines for prefill.
class LongPrompts : public testing::Test {
protected:
  LongPrompts() {
    this->Bench.configure(1);
    this->Bench.registerEngines("ring", 6);
  }
  std::vector<DispatchRelay> sent() const {
    return this->Bench.all<DispatchRelay>();
  }
  void beginLast() {
    this->Bench.send(GatewayEvent(RelayBegan{this->sent().back().Attempt}));
  }

  GatewayBench Bench;
};

TEST_F(LongPrompts, ArePrefilledOneAfterTheOtherOnAllEngines) {
  const RequestId First = this->Bench.arrive("/stream/1", 150'000);
  this->Bench.arrive("/stream/2", 150'000);
  this->Bench.arrive("/stream/3", 150'000);
  ASSERT_EQ(this->sent().size(), 1U) << "the other prompts must stay queued";
  EXPECT_EQ(this->sent().front().Request, First);
  EXPECT_EQ(this->sent().front().Helpers.size(), 5U);
  this->beginLast();
  this->Bench.advance(milliseconds(50));
  EXPECT_EQ(this->sent().size(), 2U);
  this->beginLast();
  this->Bench.advance(milliseconds(50));
  EXPECT_EQ(this->sent().size(), 3U);
}

TEST_F(LongPrompts, TheQueuedOneWithTheHighestBenefitIsSentFirst) {
  this->Bench.arrive("/stream/1", 150'000);
  this->Bench.arrive("/stream/2", 300'000);
  const RequestId Shorter = this->Bench.arrive("/stream/3", 60'000);
  this->beginLast();
  this->Bench.advance(milliseconds(50));
  ASSERT_EQ(this->sent().size(), 2U);
  EXPECT_EQ(this->sent().back().Request, Shorter);
}

TEST_F(LongPrompts, WhoseCallersDisconnectDelayNoOther) {
  this->Bench.arrive("/stream/1", 150'000);
  const RequestId Abandoned = this->Bench.arrive("/stream/2", 60'000);
  const RequestId Remaining = this->Bench.arrive("/stream/3", 200'000);
  this->Bench.send(Event(CallerDisconnected{Abandoned}));
  this->beginLast();
  this->Bench.advance(milliseconds(50));
  ASSERT_EQ(this->sent().size(), 2U);
  EXPECT_EQ(this->sent().back().Request, Remaining);
}

TEST_F(LongPrompts, QueuedAtPeersGoFirstWhenTheirBenefitIsHigher) {
  this->Bench.arrive("/stream/1", 150'000);
  this->Bench.arrive("/review/2", 300'000, seconds(30));
  EngineWork PeerWork;
  PeerWork.QueuedPrompts = {{7, 60'000, 680, 120, 250}};
  this->Bench.receive("h2", PeerWork);
  this->beginLast();
  this->Bench.advance(milliseconds(100));
  EXPECT_EQ(this->sent().size(), 1U)
      << "the prompt queued at the peer goes first";
  this->Bench.receive("h2", EngineWork{});
  this->Bench.advance(milliseconds(50));
  EXPECT_EQ(this->sent().size(), 2U);
}

} // namespace
} // namespace banyanpick
