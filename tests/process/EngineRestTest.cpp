/// \file
/// An upstream that refuses a request and asks the host to back off.
#include "process/Deployment.h"
#include "process/GatewayDeployment.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace banyanpick::process {
namespace {

/// The backoff time that the stand-in asks for.
constexpr seconds BackoffTime(3);

/// The host must obey the request for backoff after this time.
constexpr milliseconds ObeyedWithin(500);

/// Requests that may still arrive until the backoff ends.
constexpr std::size_t MaxRequests = 2;

/// Guards against a host that keeps sending requests to an upstream during the
/// backoff that the upstream asked for.
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
  ASSERT_FALSE(Arrivals.empty()) << "the upstream received no request";
  for (const auto &Refused : Arrivals) {
    const auto DuringBackoff =
        std::ranges::count_if(Arrivals, [&](const auto &Arrival) {
          return Arrival.second > Refused.second + ObeyedWithin &&
                 Arrival.second < Refused.second + BackoffTime;
        });
    EXPECT_LE(DuringBackoff, MaxRequests) << "after " << Refused.first;
  }
  EXPECT_EQ(Succeeded, Sent)
      << "the other upstreams have capacity for all requests";
}

} // namespace
} // namespace banyanpick::process
