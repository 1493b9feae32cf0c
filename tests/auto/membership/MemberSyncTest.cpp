/// \file
/// Tests that hosts find the members of which they know different states, and
/// that the traffic for it is bounded.
#include "plugins/membership/MemberSync.h"
#include "plugins/membership/GossipQueue.h"
#include "plugins/membership/MemberDigests.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Begin = Time(seconds(1000));

MemberUpdate stateOf(int Number, std::uint64_t Life = 1) {
  MemberUpdate Result;
  Result.Host = HostId("h" + std::to_string(Number));
  Result.Life = Incarnation(Life);
  return Result;
}

void add(MemberDigestSum &Digests, const MemberUpdate &State) {
  Digests.replace(0, memberDigest(State));
}

TEST(MemberDigests, SumIsIndependentOfTheOrder) {
  MemberDigestSum First;
  MemberDigestSum Second;
  for (int Number = 0; Number < 300; ++Number) {
    add(First, stateOf(Number));
    add(Second, stateOf(299 - Number));
  }
  EXPECT_EQ(First.sum(), Second.sum());
  EXPECT_EQ(First.count(), 300U);
  Second.replace(memberDigest(stateOf(7)), memberDigest(stateOf(7, 2)));
  EXPECT_NE(First.sum(), Second.sum());
  EXPECT_EQ(Second.count(), 300U);
  Second.replace(memberDigest(stateOf(7, 2)), 0);
  EXPECT_EQ(Second.count(), 299U);
}

/// Hosts forget the dead at different times, and suspicions are temporary.
TEST(MemberDigests, IgnoreTheDeadAndSuspicions) {
  MemberUpdate State = stateOf(1);
  const std::uint64_t Alive = memberDigest(State);
  State.State = MemberState::Suspect;
  EXPECT_EQ(memberDigest(State), Alive);
  State.State = MemberState::Leaving;
  EXPECT_NE(memberDigest(State), Alive);
  State.State = MemberState::Dead;
  EXPECT_EQ(memberDigest(State), 0U);
}

class MemberSyncTest : public testing::Test {
protected:
  Random Rng{1};
  MemberSync Sync{this->Rng};
};

TEST_F(MemberSyncTest, EqualDigestsCauseNoRequest) {
  EXPECT_FALSE(this->Sync.shouldRequest({5, 100}, {5, 100}, Begin));
}

TEST_F(MemberSyncTest, RequestsSeldomOnceFewMembersDiffer) {
  int Requests = 0;
  for (Time Now = Begin; Now < Begin + seconds(30); Now += milliseconds(50))
    if (this->Sync.shouldRequest({5, 1000}, {6, 1000}, Now)) {
      ++Requests;
      this->Sync.noteReceived(3, Now);
    }
  EXPECT_GE(Requests, 10);
  EXPECT_LE(Requests, 20);
}

TEST_F(MemberSyncTest, RequestsSoonAgainWithoutAnAnswer) {
  ASSERT_TRUE(this->Sync.shouldRequest({5, 1000}, {6, 1}, Begin));
  EXPECT_FALSE(
      this->Sync.shouldRequest({5, 1000}, {6, 1}, Begin + milliseconds(100)));
  EXPECT_TRUE(
      this->Sync.shouldRequest({5, 1000}, {6, 1}, Begin + milliseconds(400)));
}

/// Coarse buckets would all differ, and an answer would name all members.
TEST_F(MemberSyncTest, ComparesInDetailWhereManyMembersDiffer) {
  EXPECT_EQ(MemberSync::bucketsFor({5, 1000}, {6, 999}), 64U);
  EXPECT_EQ(MemberSync::bucketsFor({5, 1000}, {6, 900}), 1024U);
}

/// Guards against a few hosts that spend their link on answers while all others
/// start.
TEST_F(MemberSyncTest, AnswersAtALimitedRate) {
  std::size_t Sent = 0;
  for (Time Now = Begin; Now < Begin + seconds(2); Now += milliseconds(1)) {
    if (!this->Sync.mayAnswer(Now))
      continue;
    this->Sync.noteAnswer(256, Now);
    Sent += 256;
  }
  EXPECT_LE(Sent, 8192U + 256U);
  EXPECT_GE(Sent, 6000U);
}

TEST(GossipQueue, AnUpdateThatPeersKnowIsNotSentAnyMore) {
  GossipQueue Queue;
  Queue.add(stateOf(1));
  for (int Heard = 0; Heard < 3; ++Heard)
    Queue.noteHeard(stateOf(1));
  EXPECT_EQ(Queue.take(8, 30).size(), 1U);
  Queue.noteHeard(stateOf(1, 2));
  EXPECT_EQ(Queue.size(), 1U) << "another incarnation";
  Queue.noteHeard(stateOf(1));
  EXPECT_EQ(Queue.size(), 0U);
}

TEST(GossipQueue, IsBoundedAndKeepsWhatWasSentLeast) {
  GossipQueue Queue;
  Queue.add(stateOf(0));
  Queue.take(1, 30);
  for (int Number = 1; Number < 1000; ++Number)
    Queue.add(stateOf(Number));
  EXPECT_LE(Queue.size(), 128U);
  for (const MemberUpdate &Update : Queue.take(1000, 30))
    EXPECT_NE(Update.Host, HostId("h0"));
}

} // namespace
} // namespace banyanpick
