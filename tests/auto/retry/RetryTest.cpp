/// \file
/// What may be tried again, and how much of it.
#include <gtest/gtest.h>

#include "fakes/PluginViews.h"
#include "fakes/RequestMaker.h"
#include "plugins/retry/RetryPlugin.h"

namespace banyanpick {
namespace {

constexpr Time Start{seconds(1000)};

TEST(RetryTest, FailingFleetIsNotStormed) {
  RetryBudget Budget{RetryBudgetPolicy()};
  Time Now = Start;
  int Retries = 0;
  // Ten minutes at 20 requests a second, of which every try fails.
  for (int Request = 0; Request < 12'000; ++Request) {
    Budget.earn(Now);
    while (Budget.spend(20, Now))
      ++Retries;
    Now += milliseconds(50);
  }
  // A tenth of the traffic, and a burst of ten each minute.
  EXPECT_LE(Retries, 1200 + 10 + 100);
  EXPECT_GE(Retries, 1000);
}

TEST(RetryTest, LossOfOneOfFourEnginesIsWhollyRetriedOnce) {
  RetryBudget Budget{RetryBudgetPolicy()};
  for (int Request = 0; Request < 60; ++Request)
    EXPECT_TRUE(Budget.spend(240, Start));
  // The third quarter lost at once is more than the burst allows.
  int Retries = 0;
  while (Budget.spend(240, Start + seconds(1)))
    ++Retries;
  EXPECT_LE(Retries, 64);
}

TEST(RetryTest, QuietHourSavesNoStorm) {
  RetryBudget Budget{RetryBudgetPolicy()};
  for (int Request = 0; Request < 10'000; ++Request)
    Budget.earn(Start);
  int Retries = 0;
  while (Budget.spend(0, Start + seconds(3600)))
    ++Retries;
  EXPECT_EQ(Retries, 10);
}

TEST(RetryTest, NonIdempotentIsRetriedOnlyWhenSurelyNotStarted) {
  PluginBench<RetryPlugin> Bench("h1");
  Bench.start();
  RetryPlugin &Tested = Bench.Tested;
  Actions Out;
  const Request Asked =
      RequestMaker(1).notIdempotent().arrived(Start, seconds(10));
  const Attempt Try = attemptOf(Asked, 1, "app");
  Tested.admitted(Asked, Start, Out);
  Tested.dispatched(Asked, Try, Start, Out);
  EXPECT_FALSE(Tested.mayRetry(Asked, 1, Start));
  Tested.attemptEnded(Asked, Try, AttemptRefused{}, Start, Out);
  EXPECT_TRUE(Tested.mayRetry(Asked, 1, Start));
  Tested.dispatched(Asked, Try, Start, Out);
  Tested.attemptEnded(Asked, Try, AttemptBroken{0, true}, Start, Out);
  EXPECT_FALSE(Tested.mayRetry(Asked, 2, Start));
  const Request Plain = RequestMaker(2).arrived(Start, seconds(10));
  EXPECT_TRUE(Tested.mayRetry(Plain, 1, Start));
  EXPECT_FALSE(Tested.mayRetry(Plain, 1, Plain.Deadline));
}

} // namespace
} // namespace banyanpick
