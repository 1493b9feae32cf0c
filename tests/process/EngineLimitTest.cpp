/// \file
/// An overloaded upstream that names a request limit, with several hosts that
/// share the callers.
#include "process/Deployment.h"
#include "process/GatewayDeployment.h"
#include "process/LimitWindow.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace banyanpick::process {
namespace {

/// Guards against hosts that each use the whole limit instead of sharing it,
/// and against hosts that ignore the limit.
TEST(EngineLimit, AllHostsTogetherStayWithinTheNamedLimit) {
  constexpr std::size_t Hosts = 3;
  constexpr int CallersEach = 2;
  constexpr seconds TestLength(10);
  GatewayDeployment Gateway({"limit", "", ""}, Hosts);
  std::atomic<int> Sent = 0;
  std::atomic<int> Succeeded = 0;
  const auto Until = std::chrono::steady_clock::now() + TestLength;
  std::vector<std::thread> Callers;
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    for (int Caller = 0; Caller < CallersEach; ++Caller)
      Callers.emplace_back([&, Host] {
        while (std::chrono::steady_clock::now() < Until) {
          const std::string Attempt = fmt::format("l{}", ++Sent);
          const auto Reply = Gateway.ask(Host, "/safe/x", Attempt);
          Succeeded += Reply.Status == 200 ? 1 : 0;
          std::this_thread::sleep_for(milliseconds(80));
        }
      });
  for (std::thread &Caller : Callers)
    Caller.join();
  const auto Arrivals = Gateway.arrivalsUnderLimit(0);
  ASSERT_FALSE(Arrivals.Requests.empty()) << "the upstream received no request";
  std::vector<std::chrono::steady_clock::time_point> Counted;
  for (const auto &Arrival : Arrivals.Requests)
    if (Arrival.ReceivedAt >= Arrivals.LimitNamedAt + LimitObeyedWithin)
      Counted.push_back(Arrival.ReceivedAt);
  EXPECT_LE(maxInLimitWindow(Counted), allowedInLimitWindow());
  EXPECT_GE(Counted.size(), 1U)
      << "an upstream at its limit still gets requests";
  EXPECT_EQ(Succeeded, Sent)
      << "the other upstreams have capacity for all requests";
}

} // namespace
} // namespace banyanpick::process
