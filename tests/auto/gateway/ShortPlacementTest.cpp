/// \file
/// Short prompts gather, so that other engines stay clear.
#include "plugins/engineload/ShortPlacement.h"

#include "kernel/PluginRegistry.h"
#include "plugins/engineload/EngineLoadPlugin.h"
#include "plugins/engineload/PrefillCost.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

PlacementWeights weights() {
  return placementWeights(Settings::defaults(pluginSettings()));
}

std::vector<EngineState> engines(std::size_t Count) {
  std::vector<EngineState> Result(Count);
  for (std::size_t At = 0; At < Count; ++At) {
    Result[At].Position = At;
    Result[At].FreeTokens = 400'000;
  }
  return Result;
}

constexpr std::uint32_t Slots = 16;
const PromptWork Query{30, 5000, 5500, 120};

TEST(PrefillCost, FollowsTheDeclaredParameters) {
  EngineParameters Of;
  Of.PrefillTokensPerMs = 154;
  Of.MsPerMillionPairs = 0.162;
  EXPECT_NEAR(prefillMs(Of, 5000), 32.5 + 2.0, 0.1);
  EXPECT_NEAR(prefillMs(Of, 182'000), 1181.8 + 2683.1, 1.0);
}

TEST(PrefillCost, TheRoomInAPauseIsWhatAFullBatchLeaves) {
  EngineParameters Of;
  Of.Slots = 16;
  Of.StepsPerPass = 46;
  Of.StepMs = 0.925;
  Of.StepMsPerDecode = 0.00483;
  Of.StepMsPerKiloContext = 0.00254;
  Of.MeanPromptTokens = 6000;
  EXPECT_NEAR(prefillBudgetMs(Of, 200), 200 - 57.3, 0.1);
  EXPECT_LT(prefillBudgetMs(Of, 50), 0);
}

TEST(PrefillCost, APlaceInAFullBatchIsAwaited) {
  EngineParameters Of;
  Of.Slots = 16;
  Of.StepsPerPass = 50;
  Of.StepMs = 1;
  Of.MeanAnswerTokens = 1600;
  EXPECT_EQ(slotWaitMs(Of, 15), 0);
  EXPECT_NEAR(slotWaitMs(Of, 16), 100, 0.1);
  EXPECT_NEAR(slotWaitMs(Of, 17), 200, 0.1);
  Of.MeanAnswerTokens = 0;
  EXPECT_EQ(slotWaitMs(Of, 20), 0);
}

TEST(ShortPlacement, PromptsGatherInFront) {
  std::vector<EngineState> States = engines(10);
  for (int Each = 0; Each < 30; ++Each) {
    const PromptPlacement Where =
        placeShort(States, 3, Slots, Query, weights());
    ++States[Where.At].Running;
    EXPECT_LT(Where.At, 3U);
  }
}

TEST(ShortPlacement, AFullEngineSendsThemFurtherBack) {
  std::vector<EngineState> States = engines(3);
  for (std::size_t At = 0; At < 2; ++At)
    States[At].Running = Slots - 1;
  EXPECT_EQ(placeShort(States, 2, Slots, Query, weights()).At, 2U);
}

TEST(ShortPlacement, DoesNotWaitBehindALongPrompt) {
  std::vector<EngineState> States = engines(3);
  States[0].BacklogMs = 2000;
  EXPECT_NE(placeShort(States, 3, Slots, Query, weights()).At, 0U);
}

TEST(ShortPlacement, KeepsFromEnginesWhereAnswersWouldPauseTooLong) {
  std::vector<EngineState> States = engines(2);
  States[0].PassMs = 60;
  States[0].Answers = {{80, 1000}};
  EXPECT_EQ(placeShort(States, 2, Slots, Query, weights()).At, 1U);
}

TEST(ShortPlacement, TheFrontFollowsWhatRunsNow) {
  EXPECT_EQ(frontEngines(14, 0, Slots, weights()), 1U);
  EXPECT_EQ(frontEngines(14, 11, Slots, weights()), 1U);
  EXPECT_EQ(frontEngines(14, 12, Slots, weights()), 2U);
  EXPECT_EQ(frontEngines(14, 140, Slots, weights()), 12U);
  EXPECT_EQ(frontEngines(14, 400, Slots, weights()), 14U);
  EXPECT_EQ(frontEngines(14, 12, 8, weights()), 3U);
}

} // namespace
} // namespace banyanpick
