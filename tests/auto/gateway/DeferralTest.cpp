/// \file
/// Tests that prompts are deferred when engines run out of slots, and that no
/// prompt is deferred without limit.
#include "plugins/engineload/Deferral.h"

#include "kernel/PluginRegistry.h"
#include "plugins/engineload/EngineLoadPlugin.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

PlacementWeights weights() {
  return placementWeights(Settings::defaults(pluginSettings()));
}

/// Engines with sixteen slots, \p Running of them taken on each.
std::vector<EngineState> engines(std::uint32_t Running) {
  EngineState State;
  State.Running = Running;
  State.FreeSlots = Running < 16 ? 16 - Running : 0;
  State.Answers = {{250, 100}};
  return std::vector<EngineState>(14, State);
}

EngineParameters model() {
  EngineParameters Result;
  Result.Slots = 16;
  Result.StepsPerPass = 50;
  Result.StepMs = 1.25;
  Result.MeanAnswerTokens = 1600;
  return Result;
}

DeferralTimes times(Duration Objective, Duration Waited) {
  return {Objective, Waited, seconds(9), true};
}

TEST(Deferral, SlotsAreScarceWhenMostAreTaken) {
  EXPECT_EQ(slotScarcity(engines(4)), 0);
  EXPECT_GT(slotScarcity(engines(12)), 0.5);
  EXPECT_EQ(slotScarcity(engines(16)), 1);
  EXPECT_EQ(slotScarcity({}), 0);
}

TEST(Deferral, AnswersWeighMoreWhereSlotsAreScarce) {
  std::vector<EngineState> Calm = engines(4);
  weighAnswersByScarcity(Calm);
  EXPECT_EQ(Calm.front().Answers.front().ValueMs, 100);
  std::vector<EngineState> Full = engines(16);
  weighAnswersByScarcity(Full);
  EXPECT_GT(Full.front().Answers.front().ValueMs, 300);
}

TEST(Deferral, AShortPromptIsLateOnlyIfNoSlotIsFreeInTime) {
  PromptPlacement Place;
  Place.FirstTokenMs = 120;
  const DeferralTimes Times = times(milliseconds(300), milliseconds(0));
  EXPECT_FALSE(
      wouldBeLate(engines(15).front(), Place, model(), Times, weights()));
  EXPECT_TRUE(
      wouldBeLate(engines(16).front(), Place, model(), Times, weights()));
  EngineParameters Unknown = model();
  Unknown.MeanAnswerTokens = 0;
  EXPECT_FALSE(
      wouldBeLate(engines(20).front(), Place, Unknown, Times, weights()));
}

TEST(Deferral, ALongPromptIsDeferredWhileSlotsAreScarceForALimitedTime) {
  PromptPlacement Place;
  Place.GainMs = 500;
  PromptWork Work;
  Work.PrefillMs = 4000;
  const DeferralTimes Fresh = times(seconds(3), seconds(0));
  EXPECT_TRUE(isWorthServingNow(Place, Work, Fresh, 0));
  EXPECT_FALSE(isWorthServingNow(Place, Work, Fresh, 1));
  EXPECT_TRUE(isWorthServingNow(Place, Work, times(seconds(3), seconds(7)), 1));
}

TEST(Deferral, ALongPromptIsServedAtItsLastChance) {
  PromptPlacement Place;
  Place.GainMs = -1;
  Place.FirstTokenMs = 3000;
  PromptWork Work;
  Work.PrefillMs = 9000;
  DeferralTimes Times = times(seconds(3), seconds(1));
  EXPECT_FALSE(isWorthServingNow(Place, Work, Times, 1));
  Times.Left = seconds(7);
  EXPECT_TRUE(isWorthServingNow(Place, Work, Times, 1));
}

TEST(Deferral, APromptThatStartsAfterItsDeadlineCannotBeServed) {
  PromptPlacement Place;
  Place.FirstTokenMs = 20'000;
  Place.SoonestMs = 8900;
  EXPECT_FALSE(cannotBeServed(Place, times(seconds(3), seconds(0)), 0));
  Place.SoonestMs = 9100;
  EXPECT_TRUE(cannotBeServed(Place, times(seconds(3), seconds(0)), 0));
}

TEST(Deferral, WhileSlotsAreScarceDecodingTimeIsRequired) {
  PromptPlacement Place;
  Place.SoonestMs = 4900;
  EXPECT_FALSE(cannotBeServed(Place, times(seconds(3), seconds(0)), 0.5));
  Place.SoonestMs = 5000;
  EXPECT_TRUE(cannotBeServed(Place, times(seconds(3), seconds(0)), 0.5));
  EXPECT_FALSE(cannotBeServed(Place, times(seconds(3), seconds(0)), 0));
}

TEST(Deferral, CallersRetryWhenEnginesReopenWithinTheMaximumDelay) {
  const DeferralTimes Times = times(seconds(3), seconds(0));
  EXPECT_EQ(retryAfter(Times, 0, milliseconds(2500)), milliseconds(2500));
  EXPECT_EQ(retryAfter(Times, 1, milliseconds(2500)), seconds(3));
  EXPECT_EQ(retryAfter(Times, 0.5, seconds(20)), seconds(3));
}

TEST(Deferral, CallersRetryOnceAndOnlyAfterAMinimumWait) {
  const DeferralTimes Waited = times(seconds(3), milliseconds(500));
  EXPECT_TRUE(shouldRetryLater(Waited, 1));
  EXPECT_FALSE(shouldRetryLater(Waited, 0));
  EXPECT_FALSE(shouldRetryLater(times(seconds(3), milliseconds(100)), 1));
  DeferralTimes Returned = Waited;
  Returned.MayRetryLater = false;
  EXPECT_FALSE(shouldRetryLater(Returned, 1));
}

RC_GTEST_PROP(Deferral, RetriesAreSpreadAndLeaveMostOfTheTime, ()) {
  const double Draw = *rc::gen::inRange(0, 1000) / 1000.0;
  const DeferralTimes Times = times(seconds(3), seconds(0));
  const double After = inSeconds(retryAfter(Times, Draw));
  RC_ASSERT(After >= inSeconds(Times.Left) * 0.2 - 1e-3);
  RC_ASSERT(After <= inSeconds(Times.Left) / 3 + 1e-3);
}

} // namespace
} // namespace banyanpick
