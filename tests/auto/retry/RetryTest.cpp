/// \file
/// Guards against retries that overload a failing fleet, and against retries of
/// non-idempotent calls that may have started. Upstreams that fail or are lost
/// cause both.
#include <gtest/gtest.h>

#include "fakes/PluginViews.h"
#include "fakes/TestRequestBuilder.h"
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
  RetryPlugin &TestedPlugin = Bench.TestedPlugin;
  Actions Out;
  const Request NotIdempotent =
      TestRequestBuilder(1).notIdempotent().arrived(Start, seconds(10));
  const Attempt Dispatched = attemptOf(NotIdempotent, 1, "app");
  TestedPlugin.admitted(NotIdempotent, Start, Out);
  TestedPlugin.dispatched(NotIdempotent, Dispatched, Start, Out);
  EXPECT_FALSE(TestedPlugin.mayRetry(NotIdempotent, 1, Start));
  TestedPlugin.attemptEnded(NotIdempotent, Dispatched, AttemptRefused{}, Start,
                            Out);
  EXPECT_TRUE(TestedPlugin.mayRetry(NotIdempotent, 1, Start));
  TestedPlugin.dispatched(NotIdempotent, Dispatched, Start, Out);
  TestedPlugin.attemptEnded(NotIdempotent, Dispatched, AttemptBroken{0, true},
                            Start, Out);
  EXPECT_FALSE(TestedPlugin.mayRetry(NotIdempotent, 2, Start));
  const Request Idempotent = TestRequestBuilder(2).arrived(Start, seconds(10));
  EXPECT_TRUE(TestedPlugin.mayRetry(Idempotent, 1, Start));
  EXPECT_FALSE(TestedPlugin.mayRetry(Idempotent, 1, Idempotent.Deadline));
}

} // namespace
} // namespace banyanpick
