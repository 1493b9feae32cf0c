/// \file
/// Tests that long prompts are split over many engines, and share engines with
/// running answers only where the gap bounds allow it.
#include "plugins/engineload/SharedPlacement.h"

#include "kernel/PluginRegistry.h"
#include "plugins/engineload/EngineLoadPlugin.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

const PlacementTimes Reviews{4000, 8000};
const PromptWork Review{3000, 182'000, 183'000, 3100};

TEST(SharedPlacement, IdleEnginesPrefillTogether) {
  std::vector<EngineState> States = engines(8);
  States[0].Answers = {{250, 500}};
  States[1].Answers = {{250, 300}};
  const PromptPlacement Where = placeShared(States, Review, Reviews, weights());
  EXPECT_EQ(Where.Helpers.size(), 5U);
  EXPECT_GT(Where.Chosen, 1U);
  for (const std::size_t At : Where.Helpers)
    EXPECT_GT(At, 1U);
  EXPECT_NEAR(Where.FirstTokenMs, 500, 1);
}

TEST(SharedPlacement, ShortPartsShareEnginesWithAnswersWhoseGapsAllowIt) {
  std::vector<EngineState> States = engines(8);
  for (EngineState &State : States) {
    State.PassMs = 60;
    State.Answers = {{250, 500}};
  }
  PromptWork Dossier = Review;
  Dossier.PrefillMs = 600;
  const PromptPlacement Where =
      placeShared(States, Dossier, Reviews, weights());
  EXPECT_EQ(Where.Helpers.size(), 7U);
  EXPECT_NEAR(Where.FirstTokenMs, 135, 1);
}

TEST(SharedPlacement, DelaysOnlyAnswersOfLowerValue) {
  std::vector<EngineState> States = engines(8);
  for (EngineState &State : States)
    State.Answers = {{250, 300}};
  PromptWork Long = Review;
  Long.PrefillMs = 9000;
  Long.ValueMs = 9100;
  // One engine alone would be late, so some answers are delayed.
  EXPECT_GE(placeShared(States, Long, Reviews, weights()).Helpers.size(), 2U);
  for (EngineState &State : States)
    State.Answers = {{250, 9000}};
  EXPECT_TRUE(placeShared(States, Long, Reviews, weights()).Helpers.empty());
}

TEST(SharedPlacement, ReportsTheBacklogAhead) {
  std::vector<EngineState> States = engines(4);
  for (EngineState &State : States)
    State.BacklogMs = 700;
  EXPECT_NEAR(placeShared(States, Review, Reviews, weights()).AheadMs, 700, 1);
}

TEST(SharedPlacement, CreditFallsAtTheObjectiveAndEndsAtTheLateBound) {
  EXPECT_EQ(creditAt(3000, Reviews, weights()), 1);
  EXPECT_LT(creditAt(3900, Reviews, weights()), 0.5);
  EXPECT_EQ(creditAt(5000, Reviews, weights()), weights().LateShare);
  EXPECT_EQ(creditAt(8001, Reviews, weights()), 0);
}

constexpr std::uint64_t EngineTokens = 405'000;
const PromptWork Huge{37'000, 638'000, 640'000, 37'000};

TEST(SharedPlacement, SeveralEnginesReserveMemoryForAHugePrompt) {
  const std::vector<EngineState> States = engines(8);
  const auto Where =
      placeWithReservations(States, Huge, EngineTokens, Reviews, weights());
  ASSERT_TRUE(Where);
  EXPECT_GE(Where->ReservingHelpers, 2U);
  EXPECT_GE(Where->ReservedTokens * Where->ReservingHelpers, 640'000U);
  EXPECT_GE(Where->Helpers.size(), 5U);
  EXPECT_EQ(Where->Helpers.front(), Where->Chosen);
}

TEST(SharedPlacement, AHugePromptIsPlacedBesideAnswers) {
  std::vector<EngineState> States = engines(8);
  for (EngineState &State : States) {
    State.Running = 9;
    State.FreeTokens = 300'000;
    State.PassMs = 55;
    State.Answers = {{250, 1100}};
  }
  const auto Where =
      placeWithReservations(States, Huge, EngineTokens, Reviews, weights());
  ASSERT_TRUE(Where);
  EXPECT_LE(Where->ReservedTokens, 300'000U);
}

TEST(SharedPlacement, GainIsNegativeWhenAHugePromptCostsMoreThanItsValue) {
  std::vector<EngineState> States = engines(8);
  const auto Clear =
      placeWithReservations(States, Huge, EngineTokens, Reviews, weights());
  ASSERT_TRUE(Clear);
  EXPECT_GT(Clear->GainMs, 0);
  for (EngineState &State : States)
    State.Answers = {{250, 40'000}};
  const auto Full =
      placeWithReservations(States, Huge, EngineTokens, Reviews, weights());
  ASSERT_TRUE(Full);
  EXPECT_LT(Full->GainMs, 0);
}

TEST(SharedPlacement, AHugePromptUsesOnlyEnginesWithMemory) {
  std::vector<EngineState> States = engines(12);
  for (std::size_t At = 0; At < 4; ++At)
    States[At].FreeTokens = 50'000;
  const auto Where =
      placeWithReservations(States, Huge, EngineTokens, Reviews, weights());
  ASSERT_TRUE(Where);
  for (const std::size_t At : Where->Helpers)
    EXPECT_GE(At, 4U);
}

TEST(SharedPlacement, AHugePromptIsNotPlacedWhileTooFewEnginesHaveMemory) {
  std::vector<EngineState> States = engines(8);
  for (std::size_t At = 1; At < 8; ++At)
    States[At].FreeTokens = 60'000;
  EXPECT_FALSE(
      placeWithReservations(States, Huge, EngineTokens, Reviews, weights()));
}

RC_GTEST_PROP(SharedPlacement, EachReservingEngineHasMemoryForItsPart, ()) {
  std::vector<EngineState> States =
      engines(*rc::gen::inRange<std::size_t>(2, 40));
  for (EngineState &State : States) {
    State.FreeTokens = *rc::gen::inRange<std::uint64_t>(0, EngineTokens);
    State.FreeSlots = *rc::gen::inRange<std::uint32_t>(0, 16);
    State.BacklogMs = *rc::gen::inRange(0, 900);
  }
  PromptWork Work = Huge;
  Work.Tokens = *rc::gen::inRange<std::uint64_t>(EngineTokens, 900'000);
  const auto Where =
      placeWithReservations(States, Work, EngineTokens, Reviews, weights());
  if (!Where)
    return;
  RC_ASSERT(Where->ReservedTokens * Where->ReservingHelpers >= Work.Tokens);
  RC_ASSERT(Where->ReservingHelpers == Where->Helpers.size());
  RC_ASSERT(Where->ReservingHelpers <= weights().MaxHelpers);
  for (const std::size_t At : Where->Helpers) {
    RC_ASSERT(Where->ReservedTokens <= States[At].FreeTokens);
    RC_ASSERT(States[At].FreeSlots > 0U);
  }
}

} // namespace
} // namespace banyanpick
