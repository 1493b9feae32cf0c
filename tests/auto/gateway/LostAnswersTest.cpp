/// \file
/// Guards against engines that look idle while they run requests whose answers
/// were lost.
#include "plugins/engineload/LostAnswers.h"
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Start{seconds(5)};

RelayAttempt attempt(std::uint64_t Number, const char *Engine) {
  RelayAttempt Result;
  Result.Id = AttemptId{Incarnation(1), Number};
  Result.Engine = UpstreamId(Engine);
  Result.OutputTokens = 1000;
  Result.SentAt = Start;
  Result.Predicted = milliseconds(100);
  return Result;
}

TEST(LostAnswers, CountUntilTheirPredictedEnd) {
  LostAnswers Lost(seconds(5));
  EXPECT_TRUE(Lost.keep(attempt(1, "e1"), Start + seconds(1), Start));
  EXPECT_FALSE(Lost.keep(attempt(2, "e1"), Start, Start)) << "it has ended";
  EXPECT_EQ(Lost.nextDue(), Start + seconds(1));
  EXPECT_TRUE(Lost.takeDue(Start + milliseconds(999)).empty());
  EXPECT_EQ(Lost.takeDue(Start + seconds(1)).size(), 1U);
  EXPECT_EQ(Lost.nextDue(), Never);
}

TEST(LostAnswers, CountForALimitedTimeAndNotOnARestartedEngine) {
  LostAnswers Lost(seconds(5));
  Lost.keep(attempt(1, "e1"), Start + seconds(60), Start);
  Lost.keep(attempt(2, "e2"), Start + seconds(60), Start);
  EXPECT_EQ(Lost.nextDue(), Start + seconds(5));
  EXPECT_EQ(Lost.takeOf(UpstreamId("e2")).size(), 1U);
  EXPECT_EQ(Lost.size(), 1U);
  EXPECT_FALSE(LostAnswers().keep(attempt(3, "e1"), Start + seconds(1), Start))
      << "disabled by default";
}

TEST(LostAnswers, EndAfterTheFirstTokenAndAUsualAnswer) {
  EngineParameters Model;
  Model.Slots = 12;
  Model.StepsPerPass = 50;
  Model.StepMs = 1;
  EXPECT_EQ(predictedEnd(attempt(1, "e1"), Model),
            Start + milliseconds(100) + seconds(1));
  Model.MeanAnswerTokens = 400;
  EXPECT_EQ(predictedEnd(attempt(1, "e1"), Model),
            Start + milliseconds(100) + milliseconds(400));
  RelayAttempt Unpredicted = attempt(1, "e1");
  Unpredicted.Predicted = Duration(0);
  EXPECT_EQ(predictedEnd(Unpredicted, Model), Start);
}

/// Returns the requests in the last report of this host's work.
std::uint32_t reported(const GatewayBench &Bench) {
  std::uint32_t Result = 0;
  for (const EngineWork::Item &Item : Bench.sent<EngineWork>().back().Items)
    Result += Item.Prefilling + Item.Decoding;
  return Result;
}

/// Reports of the warm-up at the start would delay those that the tests expect.
const std::vector<SettingChange> NotCounted = {
    {"engine_load", "warm_up_limit", "0s"}};
const std::vector<SettingChange> Counted = {
    {"engine_load", "warm_up_limit", "0s"},
    {"engine_load", "lost_answer_counts", "5s"}};

/// A host with one peer that receives its reports of work.
struct HostWithPeer : GatewayBench {
  explicit HostWithPeer(std::span<const SettingChange> Changes)
      : GatewayBench(Changes) {
    this->configure(1);
    this->registerEngines("ring", 3);
    EngineWork Work;
    Work.Items.emplace_back().Engine = UpstreamId("e3");
    this->receive("h2", Work);
  }
  std::uint32_t reportedAfterALostAnswer() {
    this->arrive("/stream/1", 5000);
    this->endAttempt(this->last<DispatchRelay>().Attempt,
                     RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
    this->advance(milliseconds(5));
    return reported(*this);
  }
};

TEST(LostAnswers, AreReportedToPeersBesideTheRetry) {
  HostWithPeer Bench(Counted);
  EXPECT_EQ(Bench.reportedAfterALostAnswer(), 2U);
  Bench.advance(milliseconds(100));
  EXPECT_EQ(reported(Bench), 1U) << "its predicted end is past";
  HostWithPeer Without(NotCounted);
  EXPECT_EQ(Without.reportedAfterALostAnswer(), 1U);
}

TEST(LostAnswers, AreForgottenWithTheEngineThatRestarts) {
  HostWithPeer Bench(Counted);
  Bench.arrive("/stream/1", 5000);
  const DispatchRelay First = Bench.last<DispatchRelay>();
  Bench.endAttempt(First.Attempt,
                   RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  Bench.report(UpstreamId(First.Engine.Value + "@5000"));
  Bench.advance(milliseconds(40));
  EXPECT_EQ(reported(Bench), 1U) << "only the retry";
}

/// Guards against a status that says that the request never ran, although an
/// engine ran it and answered with this status.
TEST(LostAnswers, AFailureAfterARunIsNotDeliveredAsNotRun) {
  for (const std::uint32_t Status : {408U, 421U, 429U, 503U}) {
    for (const char *Path : {"/once/1", "/safe/1"}) {
      GatewayBench Bench;
      Bench.configure(1);
      Bench.registerEngines("desk", 3);
      Bench.arrive(Path);
      for (int Round = 0; Round < 3; ++Round)
        Bench.endAttempt(Bench.last<DispatchRelay>().Attempt,
                         RelayFailed{Status});
      EXPECT_TRUE(Bench.all<DeliverFailure>().empty()) << Path << Status;
      ASSERT_EQ(Bench.all<RefuseRelay>().size(), 1U) << Path << Status;
      EXPECT_EQ(Bench.last<RefuseRelay>().Kind, RefusalKind::OutcomeUnknown);
    }
  }
  GatewayBench Bench;
  Bench.configure(1);
  Bench.registerEngines("desk", 3);
  Bench.arrive("/once/1");
  Bench.endAttempt(Bench.last<DispatchRelay>().Attempt, RelayFailed{500});
  EXPECT_EQ(Bench.all<DeliverFailure>().size(), 1U);
}

/// Causes a random event in the life of the only running attempt.
void continueAtRandom(GatewayBench &Bench, const DispatchRelay &Sent,
                      bool &MayHaveRun) {
  switch (*rc::gen::inRange(0, 7)) {
  case 0:
    Bench.endAttempt(Sent.Attempt, RelayNeverSent{});
    return;
  case 1:
    Bench.endAttempt(Sent.Attempt, RelayNotRun{});
    return;
  case 2:
    Bench.endAttempt(Sent.Attempt, RelayFailed{*rc::gen::element(
                                       400U, 408U, 421U, 429U, 500U, 503U)});
    break;
  case 3:
    Bench.endAttempt(Sent.Attempt,
                     RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
    break;
  case 4:
    Bench.report(UpstreamId(Sent.Engine.Value + "@5000"));
    break;
  case 5:
    Bench.send(Event(StopRequest{}));
    Bench.advance(seconds(4));
    break;
  default:
    Bench.advance(seconds(6));
  }
  MayHaveRun = true;
}

/// Guards against a request that runs and is then refused as not run: its
/// caller would send it again.
RC_GTEST_PROP(LostAnswersProperty, AreNeverRefusedAsNotRun, ()) {
  GatewayBench Bench;
  Bench.configure(1);
  Bench.registerEngines("desk", 4);
  Bench.arrive("/once/1");
  bool MayHaveRun = false;
  std::size_t Ended = 0;
  while (!MayHaveRun && Ended < Bench.all<DispatchRelay>().size())
    continueAtRandom(Bench, Bench.all<DispatchRelay>()[Ended++], MayHaveRun);
  Bench.advance(seconds(6));
  if (!MayHaveRun)
    return;
  RC_ASSERT(Bench.all<DispatchRelay>().size() == Ended);
  for (const RefuseRelay &Refused : Bench.all<RefuseRelay>())
    RC_ASSERT(Refused.Kind != RefusalKind::NotRun);
}

} // namespace
} // namespace banyanpick
