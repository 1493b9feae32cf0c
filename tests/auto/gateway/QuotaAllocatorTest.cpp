/// \file
/// Tests the quota of a limited engine: the view of its limit, the allocation
/// to hosts, and the leases that a host holds.
#include "plugins/enginelimits/QuotaAllocator.h"
#include "plugins/enginelimits/HeldQuota.h"
#include "plugins/enginelimits/LimitState.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Begin = Time(seconds(1000));
const HostId FirstHost("one");
const HostId SecondHost("two");

TEST(LimitState, TheNewerReportWinsInAnyOrder) {
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

TEST(LimitState, ADelayedAnswerEndsNoLimit) {
  LimitState State;
  State.take({2.0, Begin + seconds(1)});
  EXPECT_FALSE(State.take({std::nullopt, Begin}));
  EXPECT_TRUE(State.isLimited());
}

TEST(LimitState, AtTheSameTimeTheLowerLimitWins) {
  LimitState State;
  State.take({2.0, Begin});
  EXPECT_TRUE(State.take({1.0, Begin}));
  EXPECT_FALSE(State.take({3.0, Begin}));
  EXPECT_EQ(State.newest().PerSecond, 1.0);
}

std::uint32_t totalCount(std::span<const QuotaLease> Leases) {
  std::uint32_t Sum = 0;
  for (const QuotaLease &Lease : Leases)
    Sum += Lease.Count;
  return Sum;
}

TEST(QuotaAllocator, AllocatesNothingBeforeItsStart) {
  QuotaAllocator Allocator(10, Begin + seconds(2));
  Allocator.request(FirstHost, 1, 1, Begin);
  EXPECT_TRUE(Allocator.allocate(Begin).empty());
  EXPECT_GE(Allocator.nextAllocation(), Begin + seconds(2));
}

TEST(QuotaAllocator, ServesTheLongestWaitingFirstAndEstimatesTheWait) {
  QuotaAllocator Allocator(1, Begin);
  Allocator.request(FirstHost, 1, 1, Begin);
  EXPECT_EQ(totalCount(Allocator.allocate(Begin)), 1U);
  Allocator.request(SecondHost, 2, 1, Begin);
  Allocator.request(FirstHost, 3, 1, Begin);
  EXPECT_TRUE(Allocator.allocate(Begin).empty());
  EXPECT_EQ(Allocator.waitOf(SecondHost, Begin), Duration(seconds(1)));
  EXPECT_EQ(Allocator.waitOf(FirstHost, Begin), Duration(seconds(2)));
  // A repeated request keeps its position.
  const Time Later = Begin + seconds(1);
  Allocator.request(FirstHost, 4, 1, Later);
  Allocator.request(SecondHost, 5, 1, Later);
  const auto Leases = Allocator.allocate(Later + Duration(1));
  ASSERT_EQ(Leases.size(), 1U);
  EXPECT_EQ(Leases.front().To, SecondHost);
  EXPECT_EQ(Leases.front().Number, 5U);
}

TEST(QuotaAllocator, RequestsExpire) {
  QuotaAllocator Allocator(1, Begin);
  Allocator.request(FirstHost, 1, 1, Begin);
  EXPECT_TRUE(Allocator.allocate(Begin + RequestTtl + Duration(1)).empty());
}

TEST(QuotaAllocator, ReturnedQuotaIsAllocatedAgainOnlyOnce) {
  QuotaAllocator Allocator(0.25, Begin);
  Allocator.request(FirstHost, 7, 1, Begin);
  EXPECT_EQ(totalCount(Allocator.allocate(Begin)), 1U);
  Allocator.returnUnused(FirstHost, 7, 1, Begin);
  Allocator.returnUnused(FirstHost, 7, 1, Begin);
  Allocator.returnUnused(SecondHost, 9, 1, Begin);
  Allocator.request(SecondHost, 8, 2, Begin);
  EXPECT_EQ(totalCount(Allocator.allocate(Begin)), 1U);
}

TEST(QuotaAllocator, AnEngineWithLimitZeroIsProbed) {
  QuotaAllocator Allocator(0, Begin);
  std::uint32_t Sum = 0;
  for (Time Now = Begin; Now < Begin + seconds(40); Now += milliseconds(100)) {
    Allocator.request(FirstHost, 1, 1, Now);
    Sum += totalCount(Allocator.allocate(Now));
  }
  EXPECT_GE(Sum, 8U);
  EXPECT_LE(Sum, 12U);
}

RC_GTEST_PROP(QuotaAllocatorProperty, NeverExceedsTheLimitInAnyWindow, ()) {
  const double PerSecond = *rc::gen::inRange(1, 200) / 10.0;
  QuotaAllocator Allocator(PerSecond, Begin);
  Time Now = Begin;
  std::uint64_t Number = 0;
  double Used = 0;
  std::vector<std::pair<Time, double>> Uses;
  // An engine with a lower limit still gets occasional requests.
  const double Rate = std::max(PerSecond, MinRate);
  for (int Step = 0; Step < 200; ++Step) {
    Now += milliseconds(*rc::gen::inRange(0, 200));
    const HostId Host(*rc::gen::element("a", "b", "c"));
    Allocator.request(Host, ++Number, *rc::gen::inRange(1U, 4U), Now);
    for (const QuotaLease &Lease : Allocator.allocate(Now)) {
      const bool Unused = *rc::gen::inRange(0, 4) == 0;
      if (Unused)
        Allocator.returnUnused(Lease.To, Lease.Number, Lease.Count, Now);
      else {
        Used += Lease.Count;
        Uses.emplace_back(Now, Lease.Count);
      }
    }
    const double Burst = std::max(MinBurst, PerSecond * inSeconds(BurstTime));
    RC_ASSERT(Used <= 1 + Burst + Rate * inSeconds(Now - Begin) + 1e-6);
    // The platform's rule for windows, independent of the rate.
    constexpr seconds Window(4);
    double InWindow = 0;
    for (const auto &[At, Count] : Uses)
      InWindow += At >= Now - Window ? Count : 0;
    RC_ASSERT(InWindow <= 1.5 * PerSecond * inSeconds(Window) + 5);
  }
}

TEST(HeldQuota, UsesTheEarliestExpiryFirstAndReturnsExpiredLeases) {
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
