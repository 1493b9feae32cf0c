/// \file
/// Tests the decisions on single long prompts.
#include "plugins/engineload/AdmissionPlan.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr std::uint64_t EngineTokens = 344'250;

PlacementWeights weights() {
  PlacementWeights Result;
  Result.BudgetShare = 0.8;
  Result.LateShare = 0.25;
  Result.AheadMs = 60;
  Result.MaxHelpers = 16;
  return Result;
}

std::vector<EngineState> idleEngines(std::size_t Count) {
  EngineState State;
  State.FreeTokens = EngineTokens;
  State.FreeSlots = 12;
  return std::vector<EngineState>(Count, State);
}

AdmissionRequest prompt(std::uint64_t Tokens, double PrefillMs) {
  AdmissionRequest Result;
  Result.Work = {PrefillMs, Tokens, Tokens, static_cast<double>(Tokens) / 154,
                 750};
  Result.EngineTokens = EngineTokens;
  Result.Times = {seconds(4), Duration(0), seconds(15), true};
  Result.IsFirst = true;
  return Result;
}

// A prompt that fits at once must not be deferred.
TEST(AdmissionPlan, SendsInTimeOverSeveralEngines) {
  const auto Decision =
      decideAdmission(idleEngines(20), prompt(260'000, 7000), weights());
  const auto *Sent = std::get_if<SendNow>(&Decision);
  ASSERT_NE(Sent, nullptr);
  EXPECT_GE(Sent->Place.Helpers.size(), 2U);
  EXPECT_LE(Sent->Place.FirstTokenMs, 3200);
}

// A prompt that can still be in time must not overtake one of more value.
TEST(AdmissionPlan, WaitsBehindPromptsThatGoBefore) {
  AdmissionRequest Request = prompt(260'000, 7000);
  Request.IsFirst = false;
  Request.MsAhead = 10'000;
  const auto Decision = decideAdmission(idleEngines(20), Request, weights());
  EXPECT_TRUE(std::holds_alternative<WaitForTurn>(Decision));
}

// Waiting for seconds and being sent late took the time of other prompts.
TEST(AdmissionPlan, RefusesWhenNoRoomInTime) {
  std::vector<EngineState> States = idleEngines(20);
  for (EngineState &State : States)
    State.BacklogMs = 5000;
  const auto Decision =
      decideAdmission(States, prompt(260'000, 7000), weights());
  const auto *Refused = std::get_if<RefuseNow>(&Decision);
  ASSERT_NE(Refused, nullptr);
  EXPECT_NEAR(Refused->RoomMs, 5000, 1);
}

// A late prompt went to one engine for seconds and stalled its answers.
TEST(AdmissionPlan, LatePromptDelaysNoAnswerOfMoreValue) {
  std::vector<EngineState> States = idleEngines(20);
  for (EngineState &State : States)
    State.Answers = {{200, 1000}};
  AdmissionRequest Request = prompt(260'000, 7000);
  Request.Times.Waited = seconds(4);
  Request.Times.MayRetryLater = false;
  const auto Decision = decideAdmission(States, Request, weights());
  EXPECT_TRUE(std::holds_alternative<WaitForTurn>(Decision));
}

// Prompts of more than one engine's memory waited for equal parts.
TEST(AdmissionPlan, ReservesForPromptsBeyondOneEngine) {
  const auto Decision =
      decideAdmission(idleEngines(20), prompt(400'000, 15'000), weights());
  const auto *Sent = std::get_if<SendNow>(&Decision);
  ASSERT_NE(Sent, nullptr);
  EXPECT_EQ(Sent->Place.ReservingHelpers, Sent->Place.Helpers.size());
}

} // namespace
} // namespace banyanpick
