/// \file
/// Short prompts stay clear of long ones, and long ones are shared.
#include "plugins/engineload/Placement.h"

#include "kernel/PluginRegistry.h"
#include "plugins/engineload/EngineLoad.h"
#include "plugins/engineload/EngineLoadPlugin.h"
#include "plugins/engineload/LongDemand.h"
#include "plugins/engineload/ReadCost.h"

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

const PlacementTimes Reviews{2800, 4000, 8000};

TEST(ReadCost, FollowsTheDeclaredParameters) {
  EngineParameters Of;
  Of.ReadTokensPerMs = 154;
  Of.MsPerMillionPairs = 0.162;
  EXPECT_NEAR(readMs(Of, 5000), 32.5 + 2.0, 0.1);
  EXPECT_NEAR(readMs(Of, 182'000), 1181.8 + 2683.1, 1.0);
}

TEST(Placement, ShortPromptsGatherInFront) {
  std::vector<EngineState> States = engines(10);
  for (int Each = 0; Each < 6; ++Each) {
    const Placed Where = placeSwift(States, 3, 30, 5000, weights());
    ++States[Where.At].Running;
    ++States[Where.At].SwiftRunning;
    EXPECT_LT(Where.At, 3U);
  }
}

TEST(Placement, ACrowdedEngineSendsShortPromptsFurtherBack) {
  std::vector<EngineState> States = engines(3);
  States[0].Running = 15;
  EXPECT_NE(placeSwift(States, 3, 30, 5000, weights()).At, 0U);
}

TEST(Placement, AShortPromptDoesNotWaitBehindALongOne) {
  std::vector<EngineState> States = engines(3);
  States[0].BacklogMs = 2000;
  EXPECT_NE(placeSwift(States, 3, 30, 5000, weights()).At, 0U);
}

TEST(Placement, ALongPromptIsSharedAmongClearEngines) {
  std::vector<EngineState> States = engines(8);
  States[0].SwiftRunning = 4;
  States[1].SwiftRunning = 2;
  const Placed Where = placeLong(States, 3000, 182'000, Reviews, weights());
  EXPECT_EQ(Where.Helpers.size(), 5U);
  EXPECT_GT(Where.At, 1U);
  for (const std::size_t At : Where.Helpers)
    EXPECT_GT(At, 1U);
  EXPECT_LT(Where.FirstTokenMs, 600);
}

TEST(Placement, OthersAreTakenOnlyWhenItWouldBeLateElse) {
  std::vector<EngineState> States = engines(6);
  for (std::size_t At = 1; At < 6; ++At)
    States[At].SwiftRunning = 2;
  EXPECT_TRUE(
      placeLong(States, 2000, 120'000, Reviews, weights()).Helpers.empty());
  EXPECT_FALSE(
      placeLong(States, 5000, 190'000, Reviews, weights()).Helpers.empty());
}

TEST(Placement, APromptThatWillBeLateTakesFewEngines) {
  std::vector<EngineState> States = engines(8);
  const auto Where =
      placeHuge(States, 37'000, 640'000, 405'000, Reviews, weights());
  ASSERT_TRUE(Where);
  EXPECT_EQ(Where->Keepers, 2U);
  EXPECT_GE(Where->KeptTokens * 2, 640'000U);
  EXPECT_EQ(Where->Helpers.size(), 5U);
  EXPECT_EQ(Where->Helpers.front(), Where->At);
}

TEST(Placement, AHugePromptWaitsForIdleEngines) {
  std::vector<EngineState> States = engines(8);
  for (std::size_t At = 0; At < 6; ++At)
    States[At].Running = 1;
  EXPECT_FALSE(placeHuge(States, 37'000, 640'000, 405'000, Reviews, weights()));
}

TEST(Placement, TheFrontGivesWayToLongPromptsAndKeepsWhatItNeeds) {
  EXPECT_EQ(frontEngines(16, 0, 10, weights()), 3U);
  EXPECT_EQ(frontEngines(16, 0, 80, weights()), 15U);
  EXPECT_EQ(frontEngines(16, 8, 40, weights()), 4U);
  EXPECT_EQ(frontEngines(16, 8, 130, weights()), 10U);
  EXPECT_EQ(frontEngines(16, 50, 0, weights()), 2U);
  EXPECT_EQ(frontEngines(1, 50, 0, weights()), 1U);
}

TEST(LongDemand, IsAnAverageOverAllHostsThatFades) {
  LongDemand Demand(seconds(3), 6000);
  const Time Start(seconds(5));
  Demand.note(3000, Start);
  Demand.takePeer(HostId("h2"), 2, Start);
  EXPECT_NEAR(Demand.total(Start), 3, 0.01);
  EXPECT_NEAR(Demand.total(Start + seconds(3)), 3 / 2.718, 0.01);
  Demand.forgetPeer(HostId("h2"));
  EXPECT_NEAR(Demand.total(Start), 1, 0.01);
}

TEST(EngineLoad, CountsReadsDownAsTimePasses) {
  EngineLoad Load;
  const Time Start(seconds(5));
  Load.add({AttemptId{Incarnation(1), 1}, 100, 5000, PromptSize::Short, false},
           Start);
  Load.add({AttemptId{Incarnation(1), 2}, 50, 5000, PromptSize::Short, false},
           Start);
  EXPECT_NEAR(Load.backlogMs(Start), 150, 0.1);
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(40)), 110, 0.1);
  Load.began(AttemptId{Incarnation(1), 1}, Start + milliseconds(100));
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(100)), 50, 0.1);
  EXPECT_EQ(Load.writing(), 1U);
  EXPECT_EQ(Load.swiftRunning(), 2U);
}

TEST(EngineLoad, ReadsOfSeveralHostsAreDoneOneAfterTheOther) {
  EngineLoad Load;
  const Time Start(seconds(5));
  EngineWork::Item Work;
  Work.ReadMs = 300;
  Work.Reading = 1;
  for (const char *Peer : {"h2", "h3", "h4", "h5"})
    Load.takePeer(HostId(Peer), Work, Start);
  EXPECT_NEAR(Load.backlogMs(Start), 1200, 0.1);
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(200)), 1000, 0.1);
  // One host tells that its prompt is read.
  Load.takePeer(HostId("h2"), {}, Start + milliseconds(300));
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(300)), 900, 0.1);
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(400)), 800, 0.1);
}

TEST(EngineLoad, TakesPeersWordUntilItIsOld) {
  EngineLoad Load;
  const Time Start(seconds(5));
  EngineWork::Item Work;
  Work.ReadMs = 500;
  Work.Reading = 1;
  Load.takePeer(HostId("h2"), Work, Start);
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(100)), 400, 0.1);
  EXPECT_NEAR(Load.backlogMs(Start + seconds(4)), 0, 0.1);
}

} // namespace
} // namespace banyanpick
