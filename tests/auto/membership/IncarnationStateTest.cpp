/// \file
/// Checks that incarnation states may be joined in any order and any number of
/// times, and that the gossip queue bounds the number of sends.
#include <gtest/gtest.h>
// GoogleTest comes before its RapidCheck adapter.
#include <rapidcheck/gtest.h>

#include "plugins/membership/GossipQueue.h"
#include "plugins/membership/IncarnationState.h"

namespace banyanpick {
namespace {

IncarnationState anyState() {
  const auto State = *rc::gen::element(MemberState::Alive, MemberState::Suspect,
                                       MemberState::Dead, MemberState::Leaving);
  MemberUpdate Update;
  Update.Version = *rc::gen::inRange<std::uint64_t>(0, 4);
  Update.State = State;
  return incarnationState(Update);
}

RC_GTEST_PROP(IncarnationStateTest, JoinIsOrderIndependentAndIdempotent, ()) {
  const IncarnationState First = anyState();
  const IncarnationState Second = anyState();
  const IncarnationState Third = anyState();
  RC_ASSERT(join(First, Second) == join(Second, First));
  RC_ASSERT(join(join(First, Second), Third) ==
            join(First, join(Second, Third)));
  RC_ASSERT(join(First, First) == First);
  RC_ASSERT(join(join(First, Second), Second) == join(First, Second));
}

RC_GTEST_PROP(IncarnationStateTest, LeavingIsPermanent, ()) {
  IncarnationState State = anyState();
  State.Leaving = true;
  RC_ASSERT(join(State, anyState()).Leaving);
}

TEST(IncarnationStateTest, OnlyAHigherVersionRefutesDeath) {
  const IncarnationState Dead{3, IncarnationState::Liveness::Dead, false};
  EXPECT_EQ(
      memberState(join(Dead, {3, IncarnationState::Liveness::Alive, false})),
      MemberState::Dead);
  EXPECT_EQ(
      memberState(join(Dead, {4, IncarnationState::Liveness::Alive, false})),
      MemberState::Alive);
}

TEST(GossipQueueTest, SendsEachUpdateABoundedNumberOfTimes) {
  GossipQueue Queue;
  for (const char *Host : {"a", "b", "c"})
    Queue.add({HostId(Host), Incarnation(1), 0, MemberState::Suspect});
  std::size_t Sent = 0;
  for (int Beat = 0; Beat < 20; ++Beat) {
    const auto Taken = Queue.take(2, 3);
    EXPECT_LE(Taken.size(), 2u);
    Sent += Taken.size();
  }
  EXPECT_EQ(Sent, 9u);
  EXPECT_EQ(Queue.size(), 0u);
}

TEST(GossipQueueTest, NewerUpdateOfAHostReplacesTheOlder) {
  GossipQueue Queue;
  Queue.add({HostId("a"), Incarnation(1), 0, MemberState::Suspect});
  Queue.add({HostId("a"), Incarnation(1), 1, MemberState::Alive});
  const auto Taken = Queue.take(4, 3);
  ASSERT_EQ(Taken.size(), 1u);
  EXPECT_EQ(Taken[0].State, MemberState::Alive);
}

} // namespace
} // namespace banyanpick
