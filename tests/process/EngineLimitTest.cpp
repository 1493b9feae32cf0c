/// \file
/// An upstream in need that names how many requests it takes, before hosts
/// that share the callers.
#include "process/Deployment.h"
#include "process/GatewayDeployment.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace banyanpick::process {
namespace {

/// As standin_upstream names it under the fault `limit`.
constexpr double LimitPerSecond = 1.6;

/// All hosts keep to a limit so long after it was first named,
constexpr seconds HeededAfter(3);

/// and count what an upstream gets in any such time.
constexpr seconds Window(4);

/// The most requests that may come within a window.
std::size_t mostAllowed() {
  constexpr double Factor = 1.5;
  constexpr double More = 5;
  return static_cast<std::size_t>(Factor * LimitPerSecond * inSeconds(Window) +
                                  More);
}

/// The most of the arrivals that lie within one window.
std::size_t mostWithin(std::vector<Duration> Arrivals) {
  std::ranges::sort(Arrivals);
  std::size_t Most = 0;
  for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First) {
    const auto Last =
        std::upper_bound(First, Arrivals.end(), *First + Duration(Window));
    Most = std::max(Most, static_cast<std::size_t>(Last - First));
  }
  return Most;
}

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
  const std::vector<Duration> Arrivals = Gateway.arrivalsSinceLimit(0);
  ASSERT_FALSE(Arrivals.empty()) << "it was never sent anything";
  std::vector<Duration> Heeded;
  std::ranges::copy_if(Arrivals, std::back_inserter(Heeded),
                       [](Duration At) { return At >= HeededAfter; });
  EXPECT_LE(mostWithin(Heeded), mostAllowed());
  EXPECT_GE(Heeded.size(), 1U) << "an upstream at its limit is still used";
  EXPECT_EQ(Served, Asked) << "the others have room for all";
}

} // namespace
} // namespace banyanpick::process
