/// \file
/// Tests that short prompts are gathered on few engines, so that other engines
/// stay idle.
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
  EngineParameters Model;
  Model.PrefillTokensPerMs = 154;
  Model.MsPerMillionPairs = 0.162;
  EXPECT_NEAR(prefillMs(Model, 5000), 32.5 + 2.0, 0.1);
  EXPECT_NEAR(prefillMs(Model, 182'000), 1181.8 + 2683.1, 1.0);
}

TEST(PrefillCost, ThePrefillBudgetIsWhatAFullBatchLeaves) {
  EngineParameters Model;
  Model.Slots = 16;
  Model.StepsPerPass = 46;
  Model.StepMs = 0.925;
  Model.StepMsPerDecode = 0.00483;
  Model.StepMsPerKiloContext = 0.00254;
  Model.MeanPromptTokens = 6000;
  EXPECT_NEAR(prefillBudgetMs(Model, 200), 200 - 57.3, 0.1);
  EXPECT_LT(prefillBudgetMs(Model, 50), 0);
}

TEST(PrefillCost, EstimatesTheWaitForASlotInAFullBatch) {
  EngineParameters Model;
  Model.Slots = 16;
  Model.StepsPerPass = 50;
  Model.StepMs = 1;
  Model.MeanAnswerTokens = 1600;
  EXPECT_EQ(slotWaitMs(Model, 15), 0);
  EXPECT_NEAR(slotWaitMs(Model, 16), 100, 0.1);
  EXPECT_NEAR(slotWaitMs(Model, 17), 200, 0.1);
  Model.MeanAnswerTokens = 0;
  EXPECT_EQ(slotWaitMs(Model, 20), 0);
}

TEST(ShortPlacement, PromptsGatherOnTheFrontEngines) {
  std::vector<EngineState> States = engines(10);
  for (int Index = 0; Index < 30; ++Index) {
    const PromptPlacement Where =
        placeShort(States, 3, Slots, Query, weights());
    ++States[Where.Chosen].Running;
    EXPECT_LT(Where.Chosen, 3U);
  }
}

TEST(ShortPlacement, AFullEngineIsPassedOver) {
  std::vector<EngineState> States = engines(3);
  for (std::size_t At = 0; At < 2; ++At)
    States[At].Running = Slots - 1;
  EXPECT_EQ(placeShort(States, 2, Slots, Query, weights()).Chosen, 2U);
}

TEST(ShortPlacement, AvoidsEnginesWithALongPrefill) {
  std::vector<EngineState> States = engines(3);
  States[0].BacklogMs = 2000;
  EXPECT_NE(placeShort(States, 3, Slots, Query, weights()).Chosen, 0U);
}

TEST(ShortPlacement, AvoidsEnginesWhereGapsWouldExceedTheirBound) {
  std::vector<EngineState> States = engines(2);
  States[0].PassMs = 60;
  States[0].Answers = {{80, 1000}};
  EXPECT_EQ(placeShort(States, 2, Slots, Query, weights()).Chosen, 1U);
}

TEST(ShortPlacement, TheFrontGrowsWithRunningRequests) {
  EXPECT_EQ(frontEngines(14, 0, Slots, weights()), 1U);
  EXPECT_EQ(frontEngines(14, 11, Slots, weights()), 1U);
  EXPECT_EQ(frontEngines(14, 12, Slots, weights()), 2U);
  EXPECT_EQ(frontEngines(14, 140, Slots, weights()), 12U);
  EXPECT_EQ(frontEngines(14, 400, Slots, weights()), 14U);
  EXPECT_EQ(frontEngines(14, 12, 8, weights()), 3U);
}

} // namespace
} // namespace banyanpick
