/// \file
/// Tests the limit of a cold engine: its end, the lowest limit in force, and
/// the bound on what an allocator leases. Too many leases would crash the
/// engine.
#include "plugins/enginelimits/LimitInForce.h"
#include "plugins/enginelimits/QuotaAllocator.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Begin = Time(seconds(1000));

TEST(ColdState, KeepsTheLatestEnd) {
  ColdState State;
  EXPECT_FALSE(State.isCold(Begin));
  EXPECT_TRUE(State.take(23, seconds(3), Begin));
  EXPECT_FALSE(State.take(23, seconds(1), Begin));
  EXPECT_TRUE(State.isCold(Begin + seconds(3)));
  EXPECT_FALSE(State.isCold(Begin + seconds(3) + ColdMargin));
}

TEST(ColdState, RepeatedReportsOfOneTurnDoNotProlongIt) {
  constexpr milliseconds Delay(20);
  ColdState Ours;
  ColdState Theirs;
  Ours.take(23, seconds(3), Begin);
  Time Now = Begin;
  while (Ours.left(Now) > Duration(0)) {
    const Duration Told = Ours.left(Now);
    Now += Delay;
    Theirs.take(23, Told, Now);
    const Duration ToldBack = Theirs.left(Now);
    Now += Delay;
    Ours.take(23, ToldBack, Now);
  }
  EXPECT_LE(Ours.until(), Begin + seconds(3) + ColdMargin);
}

RC_GTEST_PROP(LimitInForce, IsTheLowestOfThoseThatHold, ()) {
  const auto Declared = *rc::gen::inRange(0, 50);
  const auto Cold = *rc::gen::inRange(0, 50);
  const Time Now = Begin + milliseconds(*rc::gen::inRange(0, 6000));
  LimitState State;
  if (Declared > 0)
    State.take({static_cast<double>(Declared), Begin});
  ColdState ColdLimit;
  if (Cold > 0)
    ColdLimit.take(Cold, seconds(3), Begin);
  const bool IsCold = ColdLimit.isCold(Now);
  const auto Limit = lowestLimit(State, ColdLimit, Now);
  RC_ASSERT(Limit.has_value() == (Declared > 0 || IsCold));
  if (!Limit)
    return;
  RC_ASSERT(Declared == 0 || Limit->PerSecond <= Declared);
  RC_ASSERT(!IsCold || Limit->PerSecond <= Cold);
  const bool EndsWithCold = Limit->From == LimitInForce::Source::Cold;
  RC_ASSERT((Limit->Until == Never) != EndsWithCold);
}

/// Whatever hosts request and return, and whenever they use their leases, the
/// engine gets no more in any second than the bound allows.
RC_GTEST_PROP(GrantBound, HoldsForTheUseOfLeasesInEverySecond, ()) {
  constexpr Duration Window = seconds(1);
  const GrantBound Bound{static_cast<double>(*rc::gen::inRange(1, 40)),
                         Window + LeaseTtl};
  QuotaAllocator Allocator(*rc::gen::inRange(1, 100), Begin, Bound);
  Time Now = Begin;
  std::vector<Time> Used;
  for (std::uint64_t Number = 1; Number < 200; ++Number) {
    Now += milliseconds(*rc::gen::inRange(0, 60));
    const HostId Host("h" + std::to_string(*rc::gen::inRange(0, 5)));
    Allocator.request(Host, Number, *rc::gen::inRange(1, 6), Now);
    for (const QuotaLease &Lease : Allocator.allocate(Now)) {
      const auto Unused = std::min<std::uint32_t>(
          Lease.Count, *rc::gen::inRange<std::uint32_t>(0, 6));
      for (std::uint32_t Index = Unused; Index < Lease.Count; ++Index)
        Used.push_back(Now + *rc::gen::inRange<Duration::rep>(
                                 0, Duration(LeaseTtl).count()) *
                                 Duration(1));
      if (*rc::gen::arbitrary<bool>())
        Allocator.returnUnused(Lease.To, Lease.Number, Unused, Now);
    }
  }
  std::ranges::sort(Used);
  for (auto First = Used.begin(); First != Used.end(); ++First) {
    const auto Last = std::upper_bound(First, Used.end(), *First + Window);
    RC_ASSERT(static_cast<double>(Last - First) <= Bound.MaxRequests);
  }
}

} // namespace
} // namespace banyanpick
