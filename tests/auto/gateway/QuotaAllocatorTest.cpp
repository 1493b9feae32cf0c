/// \file
/// Room at an engine that names how many requests it takes: what is believed of
/// the limit, what is lent, and what is held.
#include "plugins/enginelimits/QuotaAllocator.h"
#include "plugins/enginelimits/HeldQuota.h"
#include "plugins/enginelimits/LimitState.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Begin = Time(seconds(1000));
const HostId One("one");
const HostId Two("two");

TEST(LimitState, OfTwoWordsTheNewerHoldsInAnyOrder) {
  LimitState Forward;
  LimitState Backward;
  const LimitReport Named{2.0, Begin};
  const LimitReport Ended{std::nullopt, Begin + seconds(1)};
  EXPECT_TRUE(Forward.take(Named));
  EXPECT_TRUE(Forward.take(Ended));
  EXPECT_FALSE(Forward.isLimited());
  Backward.take(Ended);
  EXPECT_FALSE(Backward.take(Named));
  EXPECT_FALSE(Backward.isLimited());
}

TEST(LimitState, AnAnswerThatWasLongOnItsWayEndsNoLimit) {
  LimitState Of;
  Of.take({2.0, Begin + seconds(1)});
  EXPECT_FALSE(Of.take({std::nullopt, Begin}));
  EXPECT_TRUE(Of.isLimited());
}

TEST(LimitState, OfTheSameMomentTheLowerLimitHolds) {
  LimitState Of;
  Of.take({2.0, Begin});
  EXPECT_TRUE(Of.take({1.0, Begin}));
  EXPECT_FALSE(Of.take({3.0, Begin}));
  EXPECT_EQ(Of.newest().PerSecond, 1.0);
}

std::uint32_t countOf(std::span<const QuotaLease> Loans) {
  std::uint32_t Sum = 0;
  for (const QuotaLease &Each : Loans)
    Sum += Each.Count;
  return Sum;
}

TEST(QuotaAllocator, LendsNothingBeforeItsTime) {
  QuotaAllocator Lender(10, Begin + seconds(2));
  Lender.request(One, 1, 1, Begin);
  EXPECT_TRUE(Lender.allocate(Begin).empty());
  EXPECT_GE(Lender.nextAllocation(), Begin + seconds(2));
}

TEST(QuotaAllocator, TheLongestWaitingIsFirstAndIsToldWhen) {
  QuotaAllocator Lender(1, Begin);
  Lender.request(One, 1, 1, Begin);
  EXPECT_EQ(countOf(Lender.allocate(Begin)), 1U);
  Lender.request(Two, 2, 1, Begin);
  Lender.request(One, 3, 1, Begin);
  EXPECT_TRUE(Lender.allocate(Begin).empty());
  EXPECT_EQ(Lender.waitOf(Two, Begin), Duration(seconds(1)));
  EXPECT_EQ(Lender.waitOf(One, Begin), Duration(seconds(2)));
  // An ask that is repeated keeps its place.
  const Time Later = Begin + seconds(1);
  Lender.request(One, 4, 1, Later);
  Lender.request(Two, 5, 1, Later);
  const auto Loans = Lender.allocate(Later + Duration(1));
  ASSERT_EQ(Loans.size(), 1U);
  EXPECT_EQ(Loans.front().To, Two);
  EXPECT_EQ(Loans.front().Number, 5U);
}

TEST(QuotaAllocator, WhoeverIsGoneGetsNothing) {
  QuotaAllocator Lender(1, Begin);
  Lender.request(One, 1, 1, Begin);
  EXPECT_TRUE(Lender.allocate(Begin + RequestTtl + Duration(1)).empty());
}

TEST(QuotaAllocator, WhatComesBackIsLentAgainAndOnlyOnce) {
  QuotaAllocator Lender(0.25, Begin);
  Lender.request(One, 7, 1, Begin);
  EXPECT_EQ(countOf(Lender.allocate(Begin)), 1U);
  Lender.returnUnused(One, 7, 1, Begin);
  Lender.returnUnused(One, 7, 1, Begin);
  Lender.returnUnused(Two, 9, 1, Begin);
  Lender.request(Two, 8, 2, Begin);
  EXPECT_EQ(countOf(Lender.allocate(Begin)), 1U);
}

TEST(QuotaAllocator, AnEngineThatTakesNothingIsTriedNowAndThen) {
  QuotaAllocator Lender(0, Begin);
  std::uint32_t Sum = 0;
  for (Time Now = Begin; Now < Begin + seconds(40); Now += milliseconds(100)) {
    Lender.request(One, 1, 1, Now);
    Sum += countOf(Lender.allocate(Now));
  }
  EXPECT_GE(Sum, 8U);
  EXPECT_LE(Sum, 12U);
}

RC_GTEST_PROP(QuotaAllocatorProperty, NeverLendsMoreThanTheLimitAllowsInAnySpan,
              ()) {
  const double PerSecond = *rc::gen::inRange(1, 200) / 10.0;
  QuotaAllocator Lender(PerSecond, Begin);
  Time Now = Begin;
  std::uint64_t Number = 0;
  double Used = 0;
  std::vector<std::pair<Time, double>> Uses;
  // An engine that takes less still gets a request now and then.
  const double Rate = std::max(PerSecond, MinRate);
  for (int Step = 0; Step < 200; ++Step) {
    Now += milliseconds(*rc::gen::inRange(0, 200));
    const HostId Host(*rc::gen::element("a", "b", "c"));
    Lender.request(Host, ++Number, *rc::gen::inRange(1U, 4U), Now);
    for (const QuotaLease &Each : Lender.allocate(Now)) {
      const bool Unused = *rc::gen::inRange(0, 4) == 0;
      if (Unused)
        Lender.returnUnused(Each.To, Each.Number, Each.Count, Now);
      else {
        Used += Each.Count;
        Uses.emplace_back(Now, Each.Count);
      }
    }
    const double Burst = std::max(MinBurst, PerSecond * inSeconds(BurstTime));
    RC_ASSERT(Used <= 1 + Burst + Rate * inSeconds(Now - Begin) + 1e-6);
    // As the platform counts, whatever the rate.
    constexpr seconds Window(4);
    double InWindow = 0;
    for (const auto &[At, Count] : Uses)
      InWindow += At >= Now - Window ? Count : 0;
    RC_ASSERT(InWindow <= 1.5 * PerSecond * inSeconds(Window) + 5);
  }
}

TEST(HeldQuota, WhatEndsFirstIsUsedFirstAndWhatLapsedComesOut) {
  HeldQuota Held;
  Held.add({1, 1, Begin + milliseconds(400)});
  Held.add({2, 2, Begin + milliseconds(200)});
  EXPECT_EQ(Held.count(Begin), 3U);
  EXPECT_TRUE(Held.use(Begin));
  EXPECT_EQ(Held.nextExpiry(), Begin + milliseconds(200));
  const auto Lapsed = Held.takeExpired(Begin + milliseconds(200));
  ASSERT_EQ(Lapsed.size(), 1U);
  EXPECT_EQ(Lapsed.front().Number, 2U);
  EXPECT_EQ(Lapsed.front().Count, 1U);
  EXPECT_TRUE(Held.use(Begin + milliseconds(300)));
  EXPECT_FALSE(Held.use(Begin + milliseconds(300)));
}

} // namespace
} // namespace banyanpick
