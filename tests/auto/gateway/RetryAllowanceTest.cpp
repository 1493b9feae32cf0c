/// \file
/// Guards against retries beyond the budget in any window, over all hosts. A
/// service that fails would otherwise get a multiple of its load.
#include "plugins/relays/RetryAllowance.h"

#include <algorithm>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

const ServiceId Desk("desk");
const RetryBudgetLimits Limits{0.2, 100, seconds(10)};

TEST(RetryAllowance, GrantsItsShareOfTheConstantAndNoMore) {
  RetryAllowance Allowance(Limits);
  int Taken = 0;
  while (Allowance.tryAcquire(Desk, 1.0 / 5, Time(seconds(1))))
    ++Taken;
  EXPECT_GE(Taken, 15);
  EXPECT_LE(Taken, 20);
}

TEST(RetryAllowance, GrowsWithTheRequests) {
  RetryAllowance Allowance(Limits);
  for (int Count = 0; Count < 1000; ++Count)
    Allowance.recordRequest(Desk, Time(seconds(1)));
  int Taken = 0;
  while (Allowance.tryAcquire(Desk, 1.0 / 100, Time(seconds(1))))
    ++Taken;
  EXPECT_GE(Taken, 150);
  EXPECT_LE(Taken, 201);
}

TEST(RetryAllowance, IsAvailableAgainAfterTheWindow) {
  RetryAllowance Allowance(Limits);
  while (Allowance.tryAcquire(Desk, 1.0 / 5, Time(seconds(1))))
    continue;
  EXPECT_FALSE(Allowance.tryAcquire(Desk, 1.0 / 5, Time(seconds(9))));
  EXPECT_TRUE(Allowance.tryAcquire(Desk, 1.0 / 5, Time(seconds(13))));
}

/// Guards against a second use of what a process used before its restart.
TEST(RetryAllowance, WithholdsTheConstantForAWindowAfterARestart) {
  RetryAllowance Allowance(Limits);
  Allowance.withholdConstant(Time(seconds(1)));
  EXPECT_FALSE(Allowance.tryAcquire(Desk, 1, Time(seconds(1))));
  for (int Count = 0; Count < 100; ++Count)
    Allowance.recordRequest(Desk, Time(seconds(5)));
  EXPECT_TRUE(Allowance.tryAcquire(Desk, 1, Time(seconds(5))))
      << "the part for new requests is not withheld";
  int Taken = 1;
  while (Allowance.tryAcquire(Desk, 1, Time(seconds(10))))
    ++Taken;
  EXPECT_LE(Taken, 20);
  EXPECT_TRUE(Allowance.tryAcquire(Desk, 1, Time(seconds(11))));
}

TEST(RetryAllowance, CountsServicesSeparately) {
  RetryAllowance Allowance(Limits);
  while (Allowance.tryAcquire(Desk, 1.0 / 5, Time(seconds(1))))
    continue;
  EXPECT_TRUE(
      Allowance.tryAcquire(ServiceId("ring"), 1.0 / 5, Time(seconds(1))));
}

RC_GTEST_PROP(RetryAllowanceProperty, NeverExceedsTheBudgetInAnyWindow, ()) {
  RetryAllowance Allowance(Limits);
  std::vector<Time> Requests;
  std::vector<Time> Repeats;
  Time Now{};
  constexpr std::size_t Hosts = 4;
  for (int Step = 0; Step < 400; ++Step) {
    Now += milliseconds(*rc::gen::inRange(0, 150));
    if (*rc::gen::inRange(0, 3) == 0) {
      Allowance.recordRequest(Desk, Now);
      Requests.push_back(Now);
    } else if (Allowance.tryAcquire(Desk, 1.0 / Hosts, Now)) {
      Repeats.push_back(Now);
    }
  }
  const auto Within = [&](const std::vector<Time> &Of, Time From) {
    return std::ranges::count_if(
        Of, [&](Time At) { return At >= From && At < From + Limits.Window; });
  };
  // The service's bound counts the requests of the window or of the one half a
  // window earlier, whichever are more.
  for (const Time From : Repeats) {
    const auto Counted = std::max(Within(Requests, From),
                                  Within(Requests, From - Limits.Window / 2));
    RC_ASSERT(static_cast<double>(Within(Repeats, From)) <=
              Limits.Ratio * static_cast<double>(Counted) +
                  Limits.Constant / Hosts + 1);
  }
}

} // namespace
} // namespace banyanpick
