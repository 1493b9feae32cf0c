/// \file
/// An upstream that announces in its answers that it is leaving.
#include "process/Deployment.h"
#include "process/GatewayDeployment.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace banyanpick::process {
namespace {

/// The host that receives the answer obeys it from the next request on. It
/// notifies the other hosts, which obey within this time.
constexpr milliseconds ObeyedWithin(300);

/// Guards against requests that start on an upstream after it has announced in
/// an answer that it is leaving, while the store still lists it as ready.
TEST(EngineLeaving, GetsNoNewRequestsFromAnyHostAfterAnnouncingIt) {
  constexpr std::size_t Hosts = 2;
  GatewayDeployment Gateway({"leaving", "", ""}, Hosts);
  const auto Until = std::chrono::steady_clock::now() + seconds(3);
  int Sent = 0;
  int Succeeded = 0;
  while (std::chrono::steady_clock::now() < Until) {
    const std::string Attempt = fmt::format("v{}", ++Sent);
    const auto Reply = Gateway.ask(Sent % Hosts, "/safe/x", Attempt);
    Succeeded += Reply.Status == 200 ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(10));
  }
  const auto Arrivals = Gateway.arrivalTimes(0);
  ASSERT_FALSE(Arrivals.empty()) << "the upstream received no request";
  const auto First = std::ranges::min_element(
      Arrivals, {}, [](const auto &Arrival) { return Arrival.second; });
  for (const auto &[Attempt, At] : Arrivals)
    EXPECT_LT(At, First->second + ObeyedWithin) << Attempt;
  EXPECT_EQ(Succeeded, Sent)
      << "the other upstreams have capacity for all requests";
}

} // namespace
} // namespace banyanpick::process
