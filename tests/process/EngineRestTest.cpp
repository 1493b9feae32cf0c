/// \file
/// An upstream that turns a host away and asks it for rest.
#include "process/Deployment.h"
#include "process/GatewayDeployment.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace banyanpick::process {
namespace {

/// What the stand-in asks for,
constexpr seconds BackoffTime(3);

/// when a host must have heeded it,
constexpr milliseconds ObeyedWithin(500);

/// and how many requests may come until the rest is over.
constexpr std::size_t MaxRequests = 2;

/// Guards against requests that go on to an upstream in its rest.
TEST(EngineRest, GetsAtMostTwoRequestsDuringTheBackoff) {
  GatewayDeployment Gateway({"rest", "", ""}, 1);
  const auto Until = std::chrono::steady_clock::now() + seconds(5);
  int Sent = 0;
  int Succeeded = 0;
  while (std::chrono::steady_clock::now() < Until) {
    const auto Reply = Gateway.ask(0, "/safe/x", fmt::format("r{}", ++Sent));
    Succeeded += Reply.Status == 200 ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(20));
  }
  const auto Arrivals = Gateway.arrivalTimes(0);
  ASSERT_FALSE(Arrivals.empty()) << "it was never sent anything";
  for (const auto &Refused : Arrivals) {
    const auto DuringBackoff =
        std::ranges::count_if(Arrivals, [&](const auto &Arrival) {
          return Arrival.second > Refused.second + ObeyedWithin &&
                 Arrival.second < Refused.second + BackoffTime;
        });
    EXPECT_LE(DuringBackoff, MaxRequests) << "after " << Refused.first;
  }
  EXPECT_EQ(Succeeded, Sent) << "the others have room for all";
}

} // namespace
} // namespace banyanpick::process
