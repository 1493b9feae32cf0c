/// \file
/// An upstream that says in its answers that it leaves.
#include "process/Deployment.h"
#include "process/GatewayDeployment.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace banyanpick::process {
namespace {

/// The host that heard it heeds it from the next request on, and the others
/// are told within so long.
constexpr milliseconds HeededAfter(300);

/// Guards against requests that begin on an upstream after it has said in an
/// answer that it leaves, though the store calls it ready.
TEST(EngineLeaving, AnUpstreamThatSaysSoInAnAnswerGetsNothingNewFromAnyHost) {
  constexpr std::size_t Hosts = 2;
  GatewayDeployment Gateway({"leaving", "", ""}, Hosts);
  const auto Until = std::chrono::steady_clock::now() + seconds(3);
  int Asked = 0;
  int Served = 0;
  while (std::chrono::steady_clock::now() < Until) {
    const std::string Attempt = fmt::format("v{}", ++Asked);
    const auto Reply = Gateway.ask(Asked % Hosts, "/safe/x", Attempt);
    Served += Reply.Status == 200 ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(10));
  }
  const auto Arrivals = Gateway.arrivalTimes(0);
  ASSERT_FALSE(Arrivals.empty()) << "it was never sent anything";
  const auto First = std::ranges::min_element(
      Arrivals, {}, [](const auto &Each) { return Each.second; });
  for (const auto &[Attempt, At] : Arrivals)
    EXPECT_LT(At, First->second + HeededAfter) << Attempt;
  EXPECT_EQ(Served, Asked) << "the others have room for all";
}

} // namespace
} // namespace banyanpick::process
