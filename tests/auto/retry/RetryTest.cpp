/// \file
/// Guards against retries that overload a failing fleet, and against retries of
/// non-idempotent calls that may have started. Upstreams that fail or are lost
/// cause both.
#include <gtest/gtest.h>

#include "fakes/PluginViews.h"
#include "fakes/RequestMaker.h"
#include "plugins/retry/RetryPlugin.h"

namespace banyanpick {
namespace {

constexpr Time Start{seconds(1000)};

TEST(RetryTest, RetriesDoNotOverloadAFailingFleet) {
  RetryBudget Budget{RetryBudgetPolicy()};
  Time Now = Start;
  int Retries = 0;
  // Ten minutes at 20 requests a second; every attempt fails.
  for (int Request = 0; Request < 12'000; ++Request) {
    Budget.recordAdmission(Now);
    while (Budget.tryAcquire(20, Now))
      ++Retries;
    Now += milliseconds(50);
  }
  // The bound is a tenth of the traffic and a burst of ten each minute.
  EXPECT_LE(Retries, 1200 + 10 + 100);
  EXPECT_GE(Retries, 1000);
}

TEST(RetryTest, AllRequestsOfOneLostEngineOfFourAreRetriedOnce) {
  RetryBudget Budget{RetryBudgetPolicy()};
  for (int Request = 0; Request < 60; ++Request)
    EXPECT_TRUE(Budget.tryAcquire(240, Start));
  // The loss of a third quarter exceeds the burst.
  int Retries = 0;
  while (Budget.tryAcquire(240, Start + seconds(1)))
    ++Retries;
  EXPECT_LE(Retries, 64);
}

TEST(RetryTest, UnusedRetriesDoNotAccumulate) {
  RetryBudget Budget{RetryBudgetPolicy()};
  for (int Request = 0; Request < 10'000; ++Request)
    Budget.recordAdmission(Start);
  int Retries = 0;
  while (Budget.tryAcquire(0, Start + seconds(3600)))
    ++Retries;
  EXPECT_EQ(Retries, 10);
}

TEST(RetryTest, NonIdempotentIsRetriedOnlyIfItCertainlyDidNotStart) {
  PluginBench<RetryPlugin> Bench("h1");
  Bench.start();
  RetryPlugin &Tested = Bench.Tested;
  Actions Out;
  const Request NotIdempotent =
      RequestMaker(1).notIdempotent().arrived(Start, seconds(10));
  const Attempt Dispatched = attemptOf(NotIdempotent, 1, "app");
  Tested.admitted(NotIdempotent, Start, Out);
  Tested.dispatched(NotIdempotent, Dispatched, Start, Out);
  EXPECT_FALSE(Tested.mayRetry(NotIdempotent, 1, Start));
  Tested.attemptEnded(NotIdempotent, Dispatched, AttemptRefused{}, Start, Out);
  EXPECT_TRUE(Tested.mayRetry(NotIdempotent, 1, Start));
  Tested.dispatched(NotIdempotent, Dispatched, Start, Out);
  Tested.attemptEnded(NotIdempotent, Dispatched, AttemptBroken{0, true}, Start,
                      Out);
  EXPECT_FALSE(Tested.mayRetry(NotIdempotent, 2, Start));
  const Request Idempotent = RequestMaker(2).arrived(Start, seconds(10));
  EXPECT_TRUE(Tested.mayRetry(Idempotent, 1, Start));
  EXPECT_FALSE(Tested.mayRetry(Idempotent, 1, Idempotent.Deadline));
}

} // namespace
} // namespace banyanpick
