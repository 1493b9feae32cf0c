/// \file
/// Guards against lost cancels, and against memory that stays on an engine
/// after its owner died, forgot it or exceeded its deadline.
#include <gtest/gtest.h>

#include "fakes/FakeRequestTable.h"
#include "fakes/PluginViews.h"
#include "fakes/TestRequestBuilder.h"
#include "plugins/reclaim/ReclaimPlugin.h"

namespace banyanpick {
namespace {

class ReclaimTest : public testing::Test {
protected:
  ReclaimTest() : Bench("host-a") {
    this->Fleet.add("e1");
    this->Bench.Registry.provide<FleetView>(this->Fleet);
    this->Bench.Registry.provide<RequestTable>(this->Table);
    this->Bench.start();
    Actions Out;
    this->Bench.TestedPlugin.start(this->Now, Out);
  }

  void handleEvent(const Event &Incoming) {
    Actions Out;
    this->Bench.TestedPlugin.handle(Incoming, this->Now, Out);
    for (const Action &Requested : Out.items()) {
      if (const auto *Cancel = std::get_if<CancelAttempt>(&Requested))
        this->Cancelled.push_back(Cancel->Attempt);
      this->ReleaseCount += std::holds_alternative<ReleaseHold>(Requested);
    }
  }
  /// Sends reports of e1 with the holds, four per second.
  void report(std::vector<HoldReport> Holds, Duration Span) {
    LoadReport Report;
    Report.Id = UpstreamId("e1");
    Report.Life = Incarnation(1);
    Report.Holds = std::move(Holds);
    for (const Time End = this->Now + Span; this->Now < End;) {
      this->Now += milliseconds(250);
      Report.MeasuredAt = this->Now;
      this->handleEvent(LoadReported{Report});
    }
  }
  HoldReport hold(const std::string &Owner, std::uint64_t Life,
                  HoldKind Kind = HoldKind::Stream) const {
    return {Kind, Life, 5, Owner, 100, this->Now + seconds(600)};
  }
  Member &addPeer(const std::string &Name, std::uint64_t Life) {
    this->Bench.Members.add(HostId(Name));
    Member &Added = this->Bench.Members.at(this->PeerCount++);
    Added.Life = Incarnation(Life);
    // In another zone, so that this host stays the leader.
    Added.Listing.Zone = ZoneId("y");
    return Added;
  }
  void cancel(std::uint64_t Sequence) {
    Actions Out;
    this->Bench.TestedPlugin.cancel({Incarnation(1), Sequence},
                                    UpstreamId("e1"), this->Now, this->Now,
                                    Out);
  }

  Time Now = Time(seconds(1000));
  FakeFleetView Fleet;
  FakeRequestTable Table;
  PluginBench<ReclaimPlugin> Bench;
  std::size_t PeerCount = 0;
  std::vector<AttemptId> Cancelled;
  std::size_t ReleaseCount = 0;
};

TEST_F(ReclaimTest, CancelIsRepeatedUntilConfirmed) {
  this->cancel(5);
  const AttemptId Id{Incarnation(1), 5};
  for (int Step = 0; Step < 20; ++Step) {
    this->Now += milliseconds(100);
    this->handleEvent(Tick{});
  }
  EXPECT_GE(this->Cancelled.size(), 2u);
  this->handleEvent(CancelAnswered{Id, UpstreamId("e1"), false});
  EXPECT_NE(this->Bench.TestedPlugin.nextWake(), Never);
  this->handleEvent(CancelAnswered{Id, UpstreamId("e1"), true});
  EXPECT_EQ(this->Bench.TestedPlugin.nextWake(), Never);
}

TEST_F(ReclaimTest, CancelExpiresAfterItsDeadlineOrWhenTheUpstreamRestarts) {
  this->cancel(5);
  this->Now += seconds(61);
  this->handleEvent(Tick{});
  EXPECT_EQ(this->Bench.TestedPlugin.nextWake(), Never);
  this->cancel(6);
  this->Fleet.Upstreams[0].Listing.Life = Incarnation(2);
  Actions Out;
  this->Bench.TestedPlugin.upstreamChanged(this->Fleet.Upstreams[0], this->Now,
                                           Out);
  EXPECT_EQ(this->Bench.TestedPlugin.nextWake(), Never);
}

TEST_F(ReclaimTest, UnconfirmedCancelsAreBounded) {
  for (std::uint64_t Sequence = 0; Sequence < 6000; ++Sequence)
    this->cancel(Sequence);
  this->Now += seconds(1);
  this->handleEvent(Tick{});
  EXPECT_EQ(this->Cancelled.size(), 4096u);
}

TEST_F(ReclaimTest, MemoryOfADeadOwnerIsFreedAfterTheGracePeriod) {
  this->addPeer("host-b", 7);
  const std::vector<HoldReport> Holds{
      this->hold("host-b", 7), this->hold("host-b", 7, HoldKind::GroupHold)};
  this->report(Holds, seconds(10));
  EXPECT_TRUE(this->Cancelled.empty());
  this->Bench.Members.Dead.insert({HostId("host-b"), Incarnation(7)});
  this->report(Holds, milliseconds(2500));
  EXPECT_TRUE(this->Cancelled.empty());
  this->report(Holds, seconds(1));
  ASSERT_FALSE(this->Cancelled.empty());
  EXPECT_EQ(this->Cancelled[0], (AttemptId{Incarnation(7), 5}));
  EXPECT_GE(this->ReleaseCount, 1u);
}

TEST_F(ReclaimTest, OwnerThatReturnsWithinTheGracePeriodKeepsItsMemory) {
  this->addPeer("host-b", 7);
  const std::vector<HoldReport> Holds{this->hold("host-b", 7)};
  this->Bench.Members.Dead.insert({HostId("host-b"), Incarnation(7)});
  this->report(Holds, seconds(2));
  this->Bench.Members.Dead.clear();
  this->report(Holds, seconds(2));
  this->Bench.Members.Dead.insert({HostId("host-b"), Incarnation(7)});
  this->report(Holds, seconds(2));
  EXPECT_TRUE(this->Cancelled.empty());
}

TEST_F(ReclaimTest, StreamOfAPlannedStopIsKeptUntilItsDeadline) {
  this->addPeer("host-b", 7);
  HoldReport Hold = this->hold("host-b", 7);
  this->Bench.Members.Dead.insert({HostId("host-b"), Incarnation(7)});
  this->Bench.Members.Left.insert({HostId("host-b"), Incarnation(7)});
  this->report({Hold}, seconds(20));
  EXPECT_TRUE(this->Cancelled.empty()) << "a peer may serve it";
  Hold.Deadline = this->Now;
  this->report({Hold}, seconds(3));
  EXPECT_FALSE(this->Cancelled.empty());
}

TEST_F(ReclaimTest, IncarnationHasEndedOnceTheHostWasHeardUnderALaterOne) {
  Member &Owner = this->addPeer("host-b", 8);
  const std::vector<HoldReport> Holds{this->hold("host-b", 7)};
  this->report(Holds, seconds(10));
  EXPECT_TRUE(this->Cancelled.empty()) << "incarnation 7 may be the later one";
  Owner.LastHeard = this->Now;
  this->report(Holds, seconds(4));
  EXPECT_FALSE(this->Cancelled.empty());
}

TEST_F(ReclaimTest, MemoryOfAnUnknownHostIsFreedEventually) {
  const std::vector<HoldReport> Holds{this->hold("host-x", 7)};
  this->report(Holds, seconds(59));
  EXPECT_TRUE(this->Cancelled.empty());
  this->report(Holds, seconds(3));
  EXPECT_FALSE(this->Cancelled.empty());
}

TEST_F(ReclaimTest, OwnStreamIsFreedOnlyWhenNoRequestOwnsIt) {
  const Request OwnRequest = TestRequestBuilder(1);
  this->Table.add(OwnRequest, attemptOf(OwnRequest, 5, "e1"));
  const std::vector<HoldReport> Holds{this->hold("host-a", 1)};
  this->report(Holds, seconds(10));
  EXPECT_TRUE(this->Cancelled.empty());
  this->Table.Entries.clear();
  this->report(Holds, seconds(4));
  EXPECT_FALSE(this->Cancelled.empty());
}

TEST_F(ReclaimTest, CallOfAPlainServiceIsNeverCancelled) {
  this->Fleet.Upstreams[0].Listing.Kind = UpstreamKind::Application;
  HoldReport Hold = this->hold("host-x", 7);
  Hold.Deadline = this->Now;
  this->report({Hold}, seconds(100));
  EXPECT_TRUE(this->Cancelled.empty());
}

/// Guards against several hosts of one zone, or none, freeing memory.
TEST(ReclaimLeaderTest, ExactlyOneHostOfAZoneIsLeader) {
  int Leaders = 0;
  for (int Index = 0; Index < 5; ++Index) {
    FakeMembershipView Members(HostId("h" + std::to_string(Index)));
    for (int Other = 0; Other < 5; ++Other)
      if (Other != Index)
        Members.add(HostId("h" + std::to_string(Other)));
    EngineFollowers Followers;
    Followers.update(Members);
    Leaders += Followers.ownRank(UpstreamId("e1")) == 0;
  }
  EXPECT_EQ(Leaders, 1);
}

} // namespace
} // namespace banyanpick
