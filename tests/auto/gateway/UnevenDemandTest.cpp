/// \file
/// Guards against connections that are opened although an idle one exists,
/// against prompts that cross zones without need, and against a zone whose
/// hosts or engines are overloaded because everything near is preferred.
#include "auto/gateway/GatewayBench.h"
#include "kernel/PluginRegistry.h"
#include "plugins/engineload/EngineLoadPlugin.h"
#include "plugins/engineload/HelperZones.h"
#include "plugins/engineload/SharedPlacement.h"
#include "plugins/engineload/ShortPlacement.h"
#include "plugins/hostdirectory/NearbyHosts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr std::uint32_t Slots = 12;
constexpr Time Start{seconds(5)};
const UpstreamId First("e1");

PlacementWeights weights() {
  return placementWeights(Settings::defaults(pluginSettings()));
}

/// Engines of three zones in turn.
std::vector<EngineState> engines(std::size_t Count) {
  std::vector<EngineState> Result(Count);
  for (std::size_t At = 0; At < Count; ++At) {
    Result[At].Position = At;
    Result[At].Zone = At % 3;
    Result[At].FreeTokens = 400'000;
  }
  return Result;
}

TEST(IdleConnections, AreThoseOfCompleteAnswersForALimitedTime) {
  IdleConnections Idle(seconds(3));
  EXPECT_FALSE(Idle.take(First, Start));
  Idle.attemptEnded(First, RelayDelivered{}, Start);
  EXPECT_TRUE(Idle.hasIdle(First, Start + seconds(2)));
  EXPECT_FALSE(Idle.hasIdle(First, Start + seconds(3)));
  EXPECT_TRUE(Idle.take(First, Start + seconds(2)));
  EXPECT_FALSE(Idle.hasIdle(First, Start + seconds(2))) << "it is in use";
  Idle.attemptEnded(First, RelayNotRun{}, Start);
  Idle.attemptEnded(First, RelayBroken{}, Start);
  EXPECT_FALSE(Idle.hasIdle(First, Start)) << "it was closed";
}

TEST(ShortPlacement, PrefersAnEngineWithAnIdleConnection) {
  std::vector<EngineState> States = engines(3);
  States[0].ConnectMs = States[1].ConnectMs = 10;
  const PromptWork Query{30, 5000, 5500, 120};
  EXPECT_EQ(placeShort(States, 3, Slots, Query, weights()).Chosen, 2U);
  States[2].BacklogMs = 11;
  EXPECT_EQ(placeShort(States, 3, Slots, Query, weights()).Chosen, 0U)
      << "waiting costs more than the connection";
}

TEST(HelperZones, CountTransfersBetweenZones) {
  const std::vector<EngineState> States = engines(9);
  EXPECT_EQ(zoneCrossings(States, std::vector<std::size_t>{0, 3, 6}), 0U);
  EXPECT_EQ(zoneCrossings(States, std::vector<std::size_t>{1, 4, 7}), 1U);
  EXPECT_EQ(zoneCrossings(States, std::vector<std::size_t>{0, 3, 1}), 1U);
  EXPECT_EQ(zoneCrossings(States, std::vector<std::size_t>{0, 1, 2}), 2U);
}

constexpr PlacementTimes Review{4000, 8000};
const PromptWork Long{3000, 182'000, 183'000, 3100};

std::size_t crossingsOf(std::span<const EngineState> States,
                        const PromptPlacement &Place) {
  std::vector<std::size_t> All = Place.Helpers;
  if (std::ranges::count(All, Place.Chosen) == 0)
    All.push_back(Place.Chosen);
  return zoneCrossings(States, All);
}

TEST(HelperZones, PartsStayInOneZoneWhereThatIsInTime) {
  std::vector<EngineState> States = engines(18);
  PlacementWeights Near = weights();
  Near.HelperZoneMs = 100;
  EXPECT_GT(crossingsOf(States, placeShared(States, Long, Review, weights())),
            0U);
  const PromptPlacement Place = placeShared(States, Long, Review, Near);
  EXPECT_EQ(crossingsOf(States, Place), 0U);
  EXPECT_LE(Place.FirstTokenMs, Review.ObjectiveMs * Near.BudgetShare);
  // Prompts beyond one engine's memory follow the same rule.
  PromptWork Beyond = Long;
  Beyond.Tokens = 700'000;
  const auto Reserved =
      placeWithReservations(States, Beyond, 400'000, Review, Near);
  ASSERT_TRUE(Reserved.has_value());
  EXPECT_EQ(crossingsOf(States, *Reserved), 0U);
}

TEST(HelperZones, PartsCrossZonesWhereOneZoneWouldBeLate) {
  std::vector<EngineState> States = engines(18);
  PlacementWeights Near = weights();
  Near.HelperZoneMs = 20;
  PromptWork Longer = Long;
  Longer.PrefillMs = 40'000;
  Longer.ValueMs = 20'000;
  const PromptPlacement Place = placeShared(States, Longer, Review, Near);
  EXPECT_GT(Place.Helpers.size(), 6U);
  EXPECT_LE(Place.FirstTokenMs, Review.ObjectiveMs);
}

TEST(HelperZones, PartsDoNotWaitForTheirOwnZone) {
  std::vector<EngineState> States = engines(18);
  for (EngineState &State : States)
    State.BacklogMs = State.Zone == 0 ? 500 : 0;
  PlacementWeights Near = weights();
  Near.HelperZoneMs = 100;
  EXPECT_LE(placeShared(States, Long, Review, Near).AheadMs, Near.AheadMs);
}

TEST(ZoneFront, ShortPromptsStayInTheirZoneUntilItsEnginesAreFilled) {
  std::vector<EngineState> States = engines(9);
  orderByZone(States);
  EXPECT_EQ(States[3].Position, 1U);
  EXPECT_EQ(States[1].Position, 3U);
  EXPECT_EQ(frontByZone(States, Slots, weights()).Engines, 1U);
  // 9 of 12 slots are filled on each engine.
  States[0].ShortRunning = States[3].ShortRunning = 9;
  const ZoneFront Within = frontByZone(States, Slots, weights());
  EXPECT_TRUE(Within.IsInOwnZone);
  EXPECT_EQ(Within.Engines, 3U);
  States[6].ShortRunning = 9;
  const ZoneFront Beyond = frontByZone(States, Slots, weights());
  EXPECT_FALSE(Beyond.IsInOwnZone);
  EXPECT_EQ(Beyond.Engines, 4U) << "one more, in another zone";
}

TEST(ZoneFront, AHostWhoseZoneHasNoEnginesUsesTheOthers) {
  std::vector<EngineState> States = engines(9);
  std::erase_if(States,
                [](const EngineState &State) { return State.Zone == 0; });
  orderByZone(States);
  States[0].ShortRunning = 9;
  EXPECT_EQ(frontByZone(States, Slots, weights()).Engines, 2U);
}

/// Guards against reports of short work that are delayed by the number of
/// receivers for longer than a burst lasts.
TEST(WorkReports, OfARiseAreSentWithinASecondAtAnyNumberOfReceivers) {
  for (const std::size_t Receivers : {16, 40, 300, 1000}) {
    WorkReportSchedule Reports(milliseconds(30), 5000);
    Reports.noteSent(WorkReportSchedule::Content::Work, Start);
    Reports.noteChange(false, Receivers, Start + milliseconds(1));
    EXPECT_LE(Reports.next(), Start + milliseconds(200));
  }
}

constexpr NearbyLimits Limits{2, 1.25};

TEST(NearbyHosts, CallersStayInTheirZoneWhileItsHostsCanServeThem) {
  EXPECT_EQ(nearbyShare({5, 0, 0.33, 0.33}, Limits), 1);
  EXPECT_EQ(nearbyShare({5, 0, 1, 1}, Limits), 1) << "the only zone";
  EXPECT_EQ(nearbyShare({1, 0, 0.33, 0.33}, Limits), 0) << "too few hosts";
  EXPECT_EQ(nearbyShare({0, 0, 0, 0.33}, Limits), 0) << "a lost zone";
  EXPECT_EQ(nearbyShare({5, 1, 0.33, 0.33}, Limits), 0)
      << "the zone may be lost";
}

/// Guards against a wave of demand in one zone that overloads its hosts.
RC_GTEST_PROP(NearbyHosts, LoadAZoneWithNoMoreThanItsLimit, ()) {
  const double Capacity = *rc::gen::inRange(1, 100) / 100.0;
  const double Demand = *rc::gen::inRange(1, 101) / 100.0;
  const double Share = nearbyShare({5, 0, Capacity, Demand}, Limits);
  RC_ASSERT(Share >= 0);
  RC_ASSERT(Share <= 1);
  const double Load = Demand * Share + Demand * (1 - Share) * Capacity;
  RC_ASSERT(Load <=
            std::max(Capacity * Limits.MaxLoad, Demand * Capacity) + 1e-9);
}

TEST(NearbyHosts, AWaveOfDemandShowsWithinTwoSeconds) {
  ZoneDemand Demand;
  Time Now = Start;
  const auto Ask = [&](int Rounds, int WaveFactor) {
    for (int Round = 0; Round < Rounds; ++Round, Now += milliseconds(100)) {
      for (int Each = 0; Each < WaveFactor; ++Each)
        Demand.note(ZoneId("z0"), Now);
      Demand.note(ZoneId("z1"), Now);
      Demand.note(ZoneId("z2"), Now);
    }
  };
  EXPECT_NEAR(Demand.shareOf(ZoneId("z0"), 0.3, Now), 0.3, 0.01);
  Ask(100, 1);
  EXPECT_NEAR(Demand.shareOf(ZoneId("z0"), 0.33, Now), 0.33, 0.02);
  Ask(20, 4);
  EXPECT_GT(Demand.shareOf(ZoneId("z0"), 0.33, Now), 0.33 * Limits.MaxLoad);
}

} // namespace
} // namespace banyanpick
