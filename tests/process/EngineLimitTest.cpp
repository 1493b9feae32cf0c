/// \file
/// An upstream in need that names how many requests it takes, before hosts
/// that share the callers.
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

/// Guards against each host keeping to itself what all keep to together, and
/// against not heeding it at all.
TEST(EngineLimit, AnUpstreamThatNamesALimitGetsNoMoreFromAllHostsTogether) {
  constexpr std::size_t Hosts = 3;
  constexpr int CallersEach = 2;
  constexpr seconds Runs(10);
  GatewayDeployment Gateway({"limit", "", ""}, Hosts);
  std::atomic<int> Asked = 0;
  std::atomic<int> Served = 0;
  const auto Until = std::chrono::steady_clock::now() + Runs;
  std::vector<std::thread> Callers;
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    for (int Caller = 0; Caller < CallersEach; ++Caller)
      Callers.emplace_back([&, Host] {
        while (std::chrono::steady_clock::now() < Until) {
          const std::string Attempt = fmt::format("l{}", ++Asked);
          const auto Reply = Gateway.ask(Host, "/safe/x", Attempt);
          Served += Reply.Status == 200 ? 1 : 0;
          std::this_thread::sleep_for(milliseconds(80));
        }
      });
  for (std::thread &Each : Callers)
    Each.join();
  const auto Arrivals = Gateway.arrivalsUnderLimit(0);
  ASSERT_FALSE(Arrivals.Requests.empty()) << "it was never sent anything";
  std::vector<std::chrono::steady_clock::time_point> Heeded;
  for (const auto &Each : Arrivals.Requests)
    if (Each.ReceivedAt >= Arrivals.LimitNamedAt + LimitObeyedWithin)
      Heeded.push_back(Each.ReceivedAt);
  EXPECT_LE(maxInLimitWindow(Heeded), allowedInLimitWindow());
  EXPECT_GE(Heeded.size(), 1U) << "an upstream at its limit is still used";
  EXPECT_EQ(Served, Asked) << "the others have room for all";
}

} // namespace
} // namespace banyanpick::process
