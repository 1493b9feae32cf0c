/// \file
/// Tests what a host believes of the engines after it lost its view.
#include "plugins/engineload/WarmUp.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

const Time Start(seconds(100));
const HostId Self("h1");
const std::vector<HostId> Hosts{Self, HostId("h2"), HostId("h3"), HostId("h4")};
const std::vector<UpstreamId> Engines{UpstreamId("e1"), UpstreamId("e2"),
                                      UpstreamId("e3"), UpstreamId("e4")};

WarmUp started() {
  WarmUp Result({seconds(3), milliseconds(500), 2});
  Result.begin(ViewLoss::Started, Start);
  Result.takeSharers(Hosts, Start);
  Result.takeEngines(Engines, Self);
  return Result;
}

EngineWork::Load load(const UpstreamId &Engine, std::uint32_t Running,
                      double AgeMs = 0) {
  return {Engine, Running, 0, std::uint64_t(Running) * 5000, AgeMs};
}

void hearAll(WarmUp &View, bool AreWarmingUp, Time Now) {
  for (const HostId &Host : Hosts)
    if (Host != Self)
      View.notePeer(Host, AreWarmingUp, Now);
}

/// Guards against a new host among running ones that waits for engines.
TEST(WarmUp, EndsWithReportsOfPeersThatKeptTheirView) {
  WarmUp View = started();
  hearAll(View, false, Start + milliseconds(40));
  EXPECT_EQ(View.update(Start + milliseconds(100)), std::nullopt);
  EXPECT_EQ(View.update(Start + milliseconds(400)), ViewGain::Peers);
  EXPECT_FALSE(View.isRunning());
  EXPECT_EQ(View.nextWake(), Never);
}

/// Guards against peers that know as little as this host.
TEST(WarmUp, NeedsEnginesWhereMostPeersLostTheirView) {
  WarmUp View = started();
  hearAll(View, true, Start + milliseconds(40));
  EXPECT_EQ(View.update(Start + milliseconds(400)), std::nullopt);
  View.noteAnswer(Engines[0]);
  View.noteAnswer(Engines[1]);
  View.takeReport(load(Engines[2], 3), {}, Start + milliseconds(420));
  EXPECT_EQ(View.update(Start + milliseconds(500)), ViewGain::Engines);
}

TEST(WarmUp, EndsAtItsLimit) {
  WarmUp View = started();
  EXPECT_EQ(View.update(Start + milliseconds(2900)), std::nullopt);
  EXPECT_EQ(View.update(Start + seconds(3)), ViewGain::Time);
}

/// Guards against reports from before the gap that count as knowledge.
TEST(WarmUp, IgnoresReportsFromBeforeTheGap) {
  WarmUp View = started();
  View.takeReport(load(Engines[0], 3, 500), {}, Start + milliseconds(100));
  EXPECT_FALSE(View.isKnown(Engines[0]));
  EXPECT_EQ(View.knownEngines(), 0U);
}

TEST(WarmUp, WindowGrowsWithEachAnswer) {
  WarmUp View = started();
  EXPECT_EQ(View.window(Engines[0]), 2U);
  View.noteAnswer(Engines[0]);
  EXPECT_EQ(View.window(Engines[0]), 3U);
  EXPECT_EQ(View.window(Engines[1]), 2U);
}

TEST(WarmUp, UnclaimedLoadFades) {
  WarmUp View = started();
  View.takeReport(load(Engines[0], 8), {2, 10000}, Start + milliseconds(500));
  EXPECT_NEAR(View.unclaimed(Engines[0], Start + milliseconds(500)).Requests, 6,
              0.01);
  EXPECT_NEAR(View.unclaimed(Engines[0], Start + milliseconds(1500)).Requests,
              3, 0.01);
  EXPECT_EQ(View.unclaimed(Engines[0], Start + seconds(3)), UnclaimedLoad());
  View.update(Start + seconds(4));
  EXPECT_FALSE(View.assumesLoad(Start + seconds(4)));
}

/// Guards against unknown engines that count as idle.
TEST(WarmUp, AssumesThatSilentHostsSentAsMuch) {
  WarmUp View = started();
  EXPECT_NEAR(View.assumedRequests(4, Start), 3, 0.01);
  hearAll(View, true, Start);
  EXPECT_NEAR(View.assumedRequests(4, Start), 0, 0.01);
  View.takeReport(load(Engines[0], 8), {}, Start + milliseconds(10));
  EXPECT_NEAR(View.assumedRequests(0, Start + milliseconds(10)), 8, 0.01);
}

/// Guards against every host asking every engine.
TEST(WarmUp, EachEngineIsAskedByOneHost) {
  std::size_t Asked = 0;
  for (const HostId &Host : Hosts) {
    WarmUp View = started();
    View.takeEngines(Engines, Host);
    EXPECT_TRUE(View.due(Start + milliseconds(200)).empty());
    hearAll(View, true, Start);
    Asked += View.due(Start + milliseconds(200)).size();
    EXPECT_TRUE(View.due(Start + milliseconds(300)).empty());
  }
  EXPECT_EQ(Asked, Engines.size());
}

TEST(WarmUp, BeginsAfterAPauseOrAChangeOfHalfOfTheHosts) {
  WarmUp View = started();
  View.update(Start + seconds(3));
  EXPECT_FALSE(View.noteAlive(Start + seconds(3)));
  EXPECT_FALSE(View.noteAlive(Start + milliseconds(3900)));
  EXPECT_TRUE(View.noteAlive(Start + milliseconds(5000)));
  const std::span<const HostId> All(Hosts);
  EXPECT_FALSE(View.takeSharers(All.first(3), Start + seconds(5)));
  EXPECT_TRUE(View.takeSharers(All.first(2), Start + seconds(6)));
}

/// Guards against two hosts that answer each other's reports without end.
TEST(WarmUp, AnswersAPeerOnce) {
  WarmUp View = started();
  EXPECT_TRUE(View.notePeer(Hosts[1], true, Start));
  EXPECT_FALSE(View.notePeer(Hosts[1], true, Start + milliseconds(30)));
}

TEST(WarmUp, LimitOfZeroTurnsItOff) {
  WarmUp View{WarmUpLimits{}};
  EXPECT_FALSE(View.begin(ViewLoss::Started, Start));
  EXPECT_FALSE(View.isRunning());
}

} // namespace
} // namespace banyanpick
