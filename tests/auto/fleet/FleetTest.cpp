/// \file
/// Checks the state of upstreams that join, leave, die or restart, and that
/// late reports are ignored.
#include <gtest/gtest.h>

#include "FleetBench.h"

namespace banyanpick {
namespace {

class FleetTest : public testing::Test {
protected:
  FleetTest() {
    this->Bench.Members.add(HostId("host-b"));
    this->Bench.start();
    this->Bench.setHostList(
        {FleetBench::engine("e1"), FleetBench::engine("e2")});
  }

  UpstreamState state(const std::string &Name) const {
    return this->Bench.state(Name);
  }
  /// Feeds a message of a peer.
  std::vector<Action> receive(const PeerMessageBody &Body) {
    return this->Bench.feed(
        PeerMessageReceived{{HostId("host-b"), Incarnation(1), Body}});
  }

  FleetBench Bench;
};

TEST_F(FleetTest, EngineIsLiveOnceItReports) {
  EXPECT_EQ(this->state("e1"), UpstreamState::Unknown);
  this->Bench.answer("e1");
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
  ASSERT_EQ(this->Bench.TestedPlugin.enginesWith(ModelId("m")).size(), 1u);
  EXPECT_EQ(this->Bench.TestedPlugin.enginesWith(ModelId("m"))[0], 0u);
}

TEST_F(FleetTest, OnePollIsPendingAtATime) {
  EXPECT_EQ(countActions<PollLoad>(this->Bench.advance(seconds(1))), 0u);
  this->Bench.answer("e1");
  EXPECT_EQ(countActions<PollLoad>(this->Bench.advance(milliseconds(500))), 1u);
}

TEST_F(FleetTest, LeavingIsPermanentForAnIncarnation) {
  this->Bench.answer("e1");
  const auto Out = this->receive(
      UpstreamNotice{UpstreamId("e1"), Incarnation(1), true, false});
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
  EXPECT_EQ(countMessages<UpstreamNotice>(Out), 0u)
      << "the peer that sent the notice needs none";
  this->Bench.answer("e1");
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
  this->Bench.answer("e1", 2);
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
}

TEST_F(FleetTest, RefusalAsLeavingAppliesAtOnceAndNotifiesPeers) {
  this->Bench.answer("e1");
  const Request ClientRequest = TestRequestBuilder(1);
  const Attempt Dispatched = attemptOf(ClientRequest, 1, "e1");
  Actions Out;
  this->Bench.TestedPlugin.dispatched(ClientRequest, Dispatched,
                                      this->Bench.Now, Out);
  this->Bench.TestedPlugin.attemptEnded(
      ClientRequest, Dispatched, AttemptRefused{AttemptRefused::Why::Leaving},
      this->Bench.Now, Out);
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
  EXPECT_EQ(countMessages<UpstreamNotice>(Out.items()), 1u);
}

TEST_F(FleetTest, LeavingInHostListIsNotRevokedByAnOldList) {
  this->Bench.answer("e1");
  UpstreamListing Leaving = FleetBench::engine("e1");
  Leaving.Leaving = true;
  this->Bench.setHostList({Leaving, FleetBench::engine("e2")});
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
  this->Bench.setHostList({FleetBench::engine("e1"), FleetBench::engine("e2")});
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
}

TEST_F(FleetTest, StaleListDoesNotRestoreAPastIncarnation) {
  this->Bench.answer("e1", 2);
  EXPECT_EQ(this->Bench.TestedPlugin.find(UpstreamId("e1"))->Listing.Life,
            Incarnation(2));
  this->Bench.advance(seconds(10));
  EXPECT_EQ(this->Bench.TestedPlugin.find(UpstreamId("e1"))->Listing.Life,
            Incarnation(2));
}

TEST_F(FleetTest, RecentReportOverridesUnknownIncarnationInList) {
  this->Bench.answer("e1", 5);
  // An unknown incarnation in a list that is older than the engine's report.
  this->Bench.setHostList(
      {FleetBench::engine("e1", 4), FleetBench::engine("e2")});
  EXPECT_EQ(this->Bench.TestedPlugin.find(UpstreamId("e1"))->Listing.Life,
            Incarnation(5));
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
}

TEST_F(FleetTest, RefusedPollsMarkDeadAndAnAnswerMarksLive) {
  this->Bench.answer("e1");
  const LoadPollFailed Refused{UpstreamId("e1"), true};
  this->Bench.feed(Refused);
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
  const auto Out = this->Bench.feed(Refused);
  EXPECT_EQ(this->state("e1"), UpstreamState::Dead);
  EXPECT_EQ(countMessages<UpstreamNotice>(Out), 1u);
  this->Bench.answer("e1");
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
}

TEST_F(FleetTest, SilentEngineBecomesUnknownAndThenDead) {
  this->Bench.answer("e1");
  this->Bench.advance(seconds(4));
  EXPECT_EQ(this->state("e1"), UpstreamState::Unknown);
  this->Bench.advance(seconds(15));
  EXPECT_EQ(this->state("e1"), UpstreamState::Dead);
}

TEST_F(FleetTest, PausedProcessMarksNoUpstreamDead) {
  this->Bench.answer("e1");
  this->Bench.Now += seconds(60);
  this->Bench.feed(Tick{});
  EXPECT_NE(this->state("e1"), UpstreamState::Dead);
}

TEST_F(FleetTest, RecentReportOverridesDeathReportedByPeer) {
  const UpstreamNotice Dead{UpstreamId("e1"), Incarnation(1), false, true};
  this->Bench.answer("e1");
  this->receive(Dead);
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
  this->Bench.advance(seconds(4));
  this->receive(Dead);
  EXPECT_EQ(this->state("e1"), UpstreamState::Dead);
}

TEST_F(FleetTest, UnlistedEngineGetsNoNewWorkAndIsRemoved) {
  this->Bench.answer("e1");
  this->Bench.setHostList({FleetBench::engine("e2")});
  EXPECT_EQ(this->state("e1"), UpstreamState::Live)
      << "one read of the host list may be wrong";
  this->Bench.advance(milliseconds(2500));
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
  this->Bench.advance(seconds(90));
  EXPECT_EQ(this->Bench.TestedPlugin.find(UpstreamId("e1")), nullptr);
  EXPECT_NE(this->Bench.TestedPlugin.find(UpstreamId("e2")), nullptr);
}

TEST_F(FleetTest, OwnWorkCountsUntilReportedOrEnded) {
  this->Bench.answer("e1");
  const Request ClientRequest = TestRequestBuilder(1).prompt(5000);
  Attempt Dispatched = attemptOf(ClientRequest, 1, "e1");
  Dispatched.SentAt = this->Bench.Now;
  Actions Out;
  this->Bench.TestedPlugin.dispatched(ClientRequest, Dispatched,
                                      this->Bench.Now, Out);
  const Upstream &Engine = *this->Bench.TestedPlugin.find(UpstreamId("e1"));
  EXPECT_EQ(Engine.UnreportedPrefillTokens, 5000u);
  EXPECT_EQ(Engine.OutstandingTokensHere, 5100u);
  this->Bench.feed(
      LoadReported{FleetBench::report("e1", 1, Dispatched.SentAt)});
  EXPECT_EQ(Engine.UnreportedPrefillTokens, 5000u)
      << "the report was measured before the attempt arrived";
  this->Bench.Now += seconds(1);
  this->Bench.answer("e1");
  EXPECT_EQ(Engine.UnreportedPrefillTokens, 0u);
  EXPECT_EQ(Engine.OutstandingHere, 1u);
  this->Bench.TestedPlugin.attemptEnded(
      ClientRequest, Dispatched, AttemptComplete{}, this->Bench.Now, Out);
  EXPECT_EQ(Engine.OutstandingHere, 0u);
  EXPECT_EQ(Engine.OutstandingTokensHere, 0u);
}

TEST_F(FleetTest, PeerWorkIsReplacedByTheNextReportAndExpires) {
  const Upstream &Engine = *this->Bench.TestedPlugin.find(UpstreamId("e1"));
  this->receive(WorkSent{{{UpstreamId("e1"), 700, 2}}});
  EXPECT_EQ(Engine.PeerPrefillTokens, 700u);
  this->receive(WorkSent{{{UpstreamId("e1"), 300, 1}}});
  EXPECT_EQ(Engine.PeerPrefillTokens, 300u);
  EXPECT_EQ(Engine.PeerRequests, 1u);
  this->Bench.advance(seconds(5));
  EXPECT_EQ(Engine.PeerPrefillTokens, 0u);
}

} // namespace
} // namespace banyanpick
