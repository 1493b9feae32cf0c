/// \file
/// Tests the load of an engine, from this host's attempts and its peers'
/// reports.
#include "plugins/engineload/EngineLoad.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

TEST(EngineLoad, BacklogShrinksAsTimePasses) {
  EngineLoad Load;
  const Time Start(seconds(5));
  Load.add({AttemptId{Incarnation(1), 1}, 100, 5000, true, {250, 120}, false},
           Start);
  Load.add({AttemptId{Incarnation(1), 2}, 50, 5000, true, {250, 60}, false},
           Start);
  EXPECT_NEAR(Load.backlogMs(Start), 150, 0.1);
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(40)), 110, 0.1);
  Load.startDecoding(AttemptId{Incarnation(1), 1}, Start + milliseconds(100));
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(100)), 50, 0.1);
  EXPECT_EQ(Load.decoding(Start), 1U);
  EXPECT_EQ(Load.shortRunning(Start), 2U);
  const std::vector<GapGroup> Held = {{250, 180}};
  EXPECT_EQ(Load.answers(Start), Held);
}

TEST(EngineLoad, PrefillsOfSeveralHostsRunOneAfterTheOther) {
  EngineLoad Load;
  const Time Start(seconds(5));
  EngineWork::Item Work;
  Work.PrefillMs = 300;
  Work.Prefilling = 1;
  for (const char *Peer : {"h2", "h3", "h4", "h5"})
    Load.takePeer(HostId(Peer), Work, Start);
  EXPECT_NEAR(Load.backlogMs(Start), 1200, 0.1);
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(200)), 1000, 0.1);
  // One host reports that its prefill has ended.
  Load.takePeer(HostId("h2"), {}, Start + milliseconds(300));
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(300)), 900, 0.1);
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(400)), 800, 0.1);
}

TEST(EngineLoad, ExpiresReportsOfPeers) {
  EngineLoad Load;
  const Time Start(seconds(5));
  EngineWork::Item Work;
  Work.PrefillMs = 500;
  Work.Prefilling = 1;
  Load.takePeer(HostId("h2"), Work, Start);
  EXPECT_NEAR(Load.backlogMs(Start + milliseconds(100)), 400, 0.1);
  EXPECT_EQ(Load.prefilling(Start + milliseconds(100)), 1U);
  EXPECT_NEAR(Load.backlogMs(Start + seconds(4)), 0, 0.1);
  EXPECT_EQ(Load.prefilling(Start + seconds(4)), 0U);
}

} // namespace
} // namespace banyanpick
