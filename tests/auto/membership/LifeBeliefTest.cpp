/// \file
/// Beliefs join in any order and any number of times.
#include <gtest/gtest.h>
// GoogleTest comes before its RapidCheck adapter.
#include <rapidcheck/gtest.h>

#include "plugins/membership/LifeBelief.h"
#include "plugins/membership/RumourQueue.h"

namespace banyanpick {
namespace {

LifeBelief anyBelief() {
  const auto State = *rc::gen::element(MemberState::Alive, MemberState::Suspect,
                                       MemberState::Dead, MemberState::Leaving);
  MemberUpdate Rumour;
  Rumour.Version = *rc::gen::inRange<std::uint64_t>(0, 4);
  Rumour.State = State;
  return beliefOf(Rumour);
}

RC_GTEST_PROP(LifeBeliefTest, JoinsInAnyOrderAndNumber, ()) {
  const LifeBelief First = anyBelief();
  const LifeBelief Second = anyBelief();
  const LifeBelief Third = anyBelief();
  RC_ASSERT(join(First, Second) == join(Second, First));
  RC_ASSERT(join(join(First, Second), Third) ==
            join(First, join(Second, Third)));
  RC_ASSERT(join(First, First) == First);
  RC_ASSERT(join(join(First, Second), Second) == join(First, Second));
}

RC_GTEST_PROP(LifeBeliefTest, LeavingIsNeverTakenBack, ()) {
  LifeBelief Belief = anyBelief();
  Belief.Leaving = true;
  RC_ASSERT(join(Belief, anyBelief()).Leaving);
}

TEST(LifeBeliefTest, OnlyAHigherVersionRefutesDeath) {
  const LifeBelief Dead{3, LifeBelief::Standing::Dead, false};
  EXPECT_EQ(stateOf(join(Dead, {3, LifeBelief::Standing::Alive, false})),
            MemberState::Dead);
  EXPECT_EQ(stateOf(join(Dead, {4, LifeBelief::Standing::Alive, false})),
            MemberState::Alive);
}

TEST(RumourQueueTest, TellsEachRumourABoundedNumberOfTimes) {
  RumourQueue Queue;
  for (const char *Host : {"a", "b", "c"})
    Queue.add({HostId(Host), Incarnation(1), 0, MemberState::Suspect});
  std::size_t Told = 0;
  for (int Beat = 0; Beat < 20; ++Beat) {
    const auto Taken = Queue.take(2, 3);
    EXPECT_LE(Taken.size(), 2u);
    Told += Taken.size();
  }
  EXPECT_EQ(Told, 9u);
  EXPECT_EQ(Queue.size(), 0u);
}

TEST(RumourQueueTest, NewerNewsOfAHostReplacesTheOlder) {
  RumourQueue Queue;
  Queue.add({HostId("a"), Incarnation(1), 0, MemberState::Suspect});
  Queue.add({HostId("a"), Incarnation(1), 1, MemberState::Alive});
  const auto Taken = Queue.take(4, 3);
  ASSERT_EQ(Taken.size(), 1u);
  EXPECT_EQ(Taken[0].State, MemberState::Alive);
}

} // namespace
} // namespace banyanpick
