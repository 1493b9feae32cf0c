/// \file
/// Upstreams that come, leave, die, restart, and signs that are late.
#include <gtest/gtest.h>

#include "FleetBench.h"

namespace banyanpick {
namespace {

class FleetTest : public testing::Test {
protected:
  FleetTest() {
    this->Bench.Members.add(HostId("host-b"));
    this->Bench.start();
    this->Bench.list({FleetBench::engine("e1"), FleetBench::engine("e2")});
  }

  UpstreamState state(const std::string &Name) const {
    return this->Bench.state(Name);
  }
  /// A peer says this of the engine.
  std::vector<Action> hear(const PeerMessageBody &Body) {
    return this->Bench.feed(
        PeerMessageReceived{{HostId("host-b"), Incarnation(1), Body}});
  }

  FleetBench Bench;
};

TEST_F(FleetTest, EngineIsLiveOnceItReports) {
  EXPECT_EQ(this->state("e1"), UpstreamState::Unknown);
  this->Bench.answer("e1");
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
  ASSERT_EQ(this->Bench.Tested.enginesWith(ModelId("m")).size(), 1u);
  EXPECT_EQ(this->Bench.Tested.enginesWith(ModelId("m"))[0], 0u);
}

TEST_F(FleetTest, OnePollIsOutAtATime) {
  EXPECT_EQ(countOf<PollLoad>(this->Bench.pass(seconds(1))), 0u);
  this->Bench.answer("e1");
  EXPECT_EQ(countOf<PollLoad>(this->Bench.pass(milliseconds(500))), 1u);
}

TEST_F(FleetTest, FirstSignOfLeavingClosesAndOnlyALaterLifeReopens) {
  this->Bench.answer("e1");
  const auto Out =
      this->hear(UpstreamNotice{UpstreamId("e1"), Incarnation(1), true, false});
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
  EXPECT_EQ(sentOf<UpstreamNotice>(Out), 0u) << "the peer knows already";
  this->Bench.answer("e1");
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
  this->Bench.answer("e1", 2);
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
}

TEST_F(FleetTest, RefusalAsLeavingClosesAtOnceAndIsPassedOn) {
  this->Bench.answer("e1");
  const Request Asked = RequestMaker(1);
  const Attempt Try = attemptOf(Asked, 1, "e1");
  Actions Out;
  this->Bench.Tested.dispatched(Asked, Try, this->Bench.Now, Out);
  this->Bench.Tested.attemptEnded(Asked, Try,
                                  AttemptRefused{AttemptRefused::Why::Leaving},
                                  this->Bench.Now, Out);
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
  EXPECT_EQ(sentOf<UpstreamNotice>(Out.items()), 1u);
}

TEST_F(FleetTest, HostListLeavingClosesAndTheOldListDoesNotReopen) {
  this->Bench.answer("e1");
  UpstreamListing Leaving = FleetBench::engine("e1");
  Leaving.Leaving = true;
  this->Bench.list({Leaving, FleetBench::engine("e2")});
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
  this->Bench.list({FleetBench::engine("e1"), FleetBench::engine("e2")});
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
}

TEST_F(FleetTest, LaggingListDoesNotBringAnOldLifeBack) {
  this->Bench.answer("e1", 2);
  EXPECT_EQ(this->Bench.Tested.find(UpstreamId("e1"))->Listing.Life,
            Incarnation(2));
  this->Bench.pass(seconds(10));
  EXPECT_EQ(this->Bench.Tested.find(UpstreamId("e1"))->Listing.Life,
            Incarnation(2));
}

TEST_F(FleetTest, ListOfAnUnknownOldLifeYieldsToFreshReports) {
  this->Bench.answer("e1", 5);
  // A life never seen, in a list that lags behind the engine's own word.
  this->Bench.list({FleetBench::engine("e1", 4), FleetBench::engine("e2")});
  EXPECT_EQ(this->Bench.Tested.find(UpstreamId("e1"))->Listing.Life,
            Incarnation(5));
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
}

TEST_F(FleetTest, RefusedPollsMeanDeathAndAnAnswerLife) {
  this->Bench.answer("e1");
  const LoadPollFailed Refused{UpstreamId("e1"), true};
  this->Bench.feed(Refused);
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
  const auto Out = this->Bench.feed(Refused);
  EXPECT_EQ(this->state("e1"), UpstreamState::Dead);
  EXPECT_EQ(sentOf<UpstreamNotice>(Out), 1u);
  this->Bench.answer("e1");
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
}

TEST_F(FleetTest, SilenceMeansUnknownAndThenDead) {
  this->Bench.answer("e1");
  this->Bench.pass(seconds(4));
  EXPECT_EQ(this->state("e1"), UpstreamState::Unknown);
  this->Bench.pass(seconds(15));
  EXPECT_EQ(this->state("e1"), UpstreamState::Dead);
}

TEST_F(FleetTest, PausedProcessBlamesNoUpstream) {
  this->Bench.answer("e1");
  this->Bench.Now += seconds(60);
  this->Bench.feed(Tick{});
  EXPECT_NE(this->state("e1"), UpstreamState::Dead);
}

TEST_F(FleetTest, PeersWordOfDeathYieldsToAFreshReport) {
  const UpstreamNotice Dead{UpstreamId("e1"), Incarnation(1), false, true};
  this->Bench.answer("e1");
  this->hear(Dead);
  EXPECT_EQ(this->state("e1"), UpstreamState::Live);
  this->Bench.pass(seconds(4));
  this->hear(Dead);
  EXPECT_EQ(this->state("e1"), UpstreamState::Dead);
}

TEST_F(FleetTest, UnlistedEngineGetsNoNewWorkAndIsForgotten) {
  this->Bench.answer("e1");
  this->Bench.list({FleetBench::engine("e2")});
  EXPECT_EQ(this->state("e1"), UpstreamState::Live) << "one read may err";
  this->Bench.pass(milliseconds(2500));
  EXPECT_EQ(this->state("e1"), UpstreamState::Leaving);
  this->Bench.pass(seconds(90));
  EXPECT_EQ(this->Bench.Tested.find(UpstreamId("e1")), nullptr);
  EXPECT_NE(this->Bench.Tested.find(UpstreamId("e2")), nullptr);
}

TEST_F(FleetTest, OwnWorkCountsUntilAReportShowsItOrItEnds) {
  this->Bench.answer("e1");
  const Request Asked = RequestMaker(1).prompt(5000);
  Attempt Try = attemptOf(Asked, 1, "e1");
  Try.SentAt = this->Bench.Now;
  Actions Out;
  this->Bench.Tested.dispatched(Asked, Try, this->Bench.Now, Out);
  const Upstream &Of = *this->Bench.Tested.find(UpstreamId("e1"));
  EXPECT_EQ(Of.UnreportedPrefillTokens, 5000u);
  EXPECT_EQ(Of.OutstandingTokensHere, 5100u);
  this->Bench.feed(LoadReported{FleetBench::report("e1", 1, Try.SentAt)});
  EXPECT_EQ(Of.UnreportedPrefillTokens, 5000u) << "measured before it came";
  this->Bench.Now += seconds(1);
  this->Bench.answer("e1");
  EXPECT_EQ(Of.UnreportedPrefillTokens, 0u);
  EXPECT_EQ(Of.OutstandingHere, 1u);
  this->Bench.Tested.attemptEnded(Asked, Try, AttemptComplete{},
                                  this->Bench.Now, Out);
  EXPECT_EQ(Of.OutstandingHere, 0u);
  EXPECT_EQ(Of.OutstandingTokensHere, 0u);
}

TEST_F(FleetTest, PeersWorkIsReplacedByTheirNextWordAndExpires) {
  const Upstream &Of = *this->Bench.Tested.find(UpstreamId("e1"));
  this->hear(WorkSent{{{UpstreamId("e1"), 700, 2}}});
  EXPECT_EQ(Of.PeerPrefillTokens, 700u);
  this->hear(WorkSent{{{UpstreamId("e1"), 300, 1}}});
  EXPECT_EQ(Of.PeerPrefillTokens, 300u);
  EXPECT_EQ(Of.PeerRequests, 1u);
  this->Bench.pass(seconds(5));
  EXPECT_EQ(Of.PeerPrefillTokens, 0u);
}

} // namespace
} // namespace banyanpick
