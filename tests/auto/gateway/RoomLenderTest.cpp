/// \file
/// Room at an engine that names how many requests it takes: what is believed of
/// the limit, what is lent, and what is held.
#include "plugins/enginelimits/RoomLender.h"
#include "plugins/enginelimits/LimitBelief.h"
#include "plugins/enginelimits/RoomHeld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Begin = Time(seconds(1000));
const HostId One("one");
const HostId Two("two");

TEST(LimitBelief, OfTwoWordsTheNewerHoldsInAnyOrder) {
  LimitBelief Forward;
  LimitBelief Backward;
  const LimitWord Named{2.0, Begin};
  const LimitWord Ended{std::nullopt, Begin + seconds(1)};
  EXPECT_TRUE(Forward.take(Named));
  EXPECT_TRUE(Forward.take(Ended));
  EXPECT_FALSE(Forward.isLimited());
  Backward.take(Ended);
  EXPECT_FALSE(Backward.take(Named));
  EXPECT_FALSE(Backward.isLimited());
}

TEST(LimitBelief, AnAnswerThatWasLongOnItsWayEndsNoLimit) {
  LimitBelief Of;
  Of.take({2.0, Begin + seconds(1)});
  EXPECT_FALSE(Of.take({std::nullopt, Begin}));
  EXPECT_TRUE(Of.isLimited());
}

TEST(LimitBelief, OfTheSameMomentTheLowerLimitHolds) {
  LimitBelief Of;
  Of.take({2.0, Begin});
  EXPECT_TRUE(Of.take({1.0, Begin}));
  EXPECT_FALSE(Of.take({3.0, Begin}));
  EXPECT_EQ(Of.word().PerSecond, 1.0);
}

std::uint32_t countOf(std::span<const RoomLoan> Loans) {
  std::uint32_t Sum = 0;
  for (const RoomLoan &Each : Loans)
    Sum += Each.Count;
  return Sum;
}

TEST(RoomLender, LendsNothingBeforeItsTime) {
  RoomLender Lender(10, Begin + seconds(2));
  Lender.ask(One, 1, 1, Begin);
  EXPECT_TRUE(Lender.lend(Begin).empty());
  EXPECT_GE(Lender.nextAt(), Begin + seconds(2));
}

TEST(RoomLender, TheLongestWaitingIsFirstAndIsToldWhen) {
  RoomLender Lender(1, Begin);
  Lender.ask(One, 1, 1, Begin);
  EXPECT_EQ(countOf(Lender.lend(Begin)), 1U);
  Lender.ask(Two, 2, 1, Begin);
  Lender.ask(One, 3, 1, Begin);
  EXPECT_TRUE(Lender.lend(Begin).empty());
  EXPECT_EQ(Lender.waitOf(Two, Begin), Duration(seconds(1)));
  EXPECT_EQ(Lender.waitOf(One, Begin), Duration(seconds(2)));
  // An ask that is repeated keeps its place.
  const Time Later = Begin + seconds(1);
  Lender.ask(One, 4, 1, Later);
  Lender.ask(Two, 5, 1, Later);
  const auto Loans = Lender.lend(Later + Duration(1));
  ASSERT_EQ(Loans.size(), 1U);
  EXPECT_EQ(Loans.front().To, Two);
  EXPECT_EQ(Loans.front().Number, 5U);
}

TEST(RoomLender, WhoeverIsGoneGetsNothing) {
  RoomLender Lender(1, Begin);
  Lender.ask(One, 1, 1, Begin);
  EXPECT_TRUE(Lender.lend(Begin + AskLapses + Duration(1)).empty());
}

TEST(RoomLender, WhatComesBackIsLentAgainAndOnlyOnce) {
  RoomLender Lender(0.25, Begin);
  Lender.ask(One, 7, 1, Begin);
  EXPECT_EQ(countOf(Lender.lend(Begin)), 1U);
  Lender.giveBack(One, 7, 1, Begin);
  Lender.giveBack(One, 7, 1, Begin);
  Lender.giveBack(Two, 9, 1, Begin);
  Lender.ask(Two, 8, 2, Begin);
  EXPECT_EQ(countOf(Lender.lend(Begin)), 1U);
}

TEST(RoomLender, AnEngineThatTakesNothingIsTriedNowAndThen) {
  RoomLender Lender(0, Begin);
  std::uint32_t Sum = 0;
  for (Time Now = Begin; Now < Begin + seconds(40); Now += milliseconds(100)) {
    Lender.ask(One, 1, 1, Now);
    Sum += countOf(Lender.lend(Now));
  }
  EXPECT_GE(Sum, 8U);
  EXPECT_LE(Sum, 12U);
}

RC_GTEST_PROP(RoomLenderProperty, NeverLendsMoreThanTheLimitAllowsInAnySpan,
              ()) {
  const double PerSecond = *rc::gen::inRange(1, 200) / 10.0;
  RoomLender Lender(PerSecond, Begin);
  Time Now = Begin;
  std::uint64_t Number = 0;
  double Used = 0;
  std::vector<std::pair<Time, double>> Uses;
  // An engine that takes less still gets a request now and then.
  const double Rate = std::max(PerSecond, LeastRate);
  for (int Step = 0; Step < 200; ++Step) {
    Now += milliseconds(*rc::gen::inRange(0, 200));
    const HostId Host(*rc::gen::element("a", "b", "c"));
    Lender.ask(Host, ++Number, *rc::gen::inRange(1U, 4U), Now);
    for (const RoomLoan &Each : Lender.lend(Now)) {
      const bool Unused = *rc::gen::inRange(0, 4) == 0;
      if (Unused)
        Lender.giveBack(Each.To, Each.Number, Each.Count, Now);
      else {
        Used += Each.Count;
        Uses.emplace_back(Now, Each.Count);
      }
    }
    const double Burst = std::max(LeastBurst, PerSecond * inSeconds(BurstTime));
    RC_ASSERT(Used <= 1 + Burst + Rate * inSeconds(Now - Begin) + 1e-6);
    // As the platform counts, whatever the rate.
    constexpr seconds Window(4);
    double InWindow = 0;
    for (const auto &[At, Count] : Uses)
      InWindow += At >= Now - Window ? Count : 0;
    RC_ASSERT(InWindow <= 1.5 * PerSecond * inSeconds(Window) + 5);
  }
}

TEST(RoomHeld, WhatEndsFirstIsUsedFirstAndWhatLapsedComesOut) {
  RoomHeld Held;
  Held.add({1, 1, Begin + milliseconds(400)});
  Held.add({2, 2, Begin + milliseconds(200)});
  EXPECT_EQ(Held.count(Begin), 3U);
  EXPECT_TRUE(Held.use(Begin));
  EXPECT_EQ(Held.nextLapse(), Begin + milliseconds(200));
  const auto Lapsed = Held.takeLapsed(Begin + milliseconds(200));
  ASSERT_EQ(Lapsed.size(), 1U);
  EXPECT_EQ(Lapsed.front().Number, 2U);
  EXPECT_EQ(Lapsed.front().Count, 1U);
  EXPECT_TRUE(Held.use(Begin + milliseconds(300)));
  EXPECT_FALSE(Held.use(Begin + milliseconds(300)));
}

} // namespace
} // namespace banyanpick
