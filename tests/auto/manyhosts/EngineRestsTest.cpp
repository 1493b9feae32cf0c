/// \file
/// Engines that turn hosts away and ask them for rest, before many hosts.
#include "auto/manyhosts/CrowdLoad.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// A host heeds a refusal so long after it came.
constexpr milliseconds HeededAfter(500);

/// The most requests of one host that reached the engine in one rest that it
/// had asked that host for.
std::size_t mostInOneRest(std::span<const HostCrowd::Arrival> Arrivals) {
  std::size_t Most = 0;
  for (const HostCrowd::Arrival &Asked : Arrivals) {
    const auto InRest = std::ranges::count_if(Arrivals, [&](const auto &Each) {
      return Each.From == Asked.From && Each.At > Asked.At + HeededAfter &&
             Each.At < Asked.At + Asked.RestAsked;
    });
    Most = std::max(Most, static_cast<std::size_t>(InRest));
  }
  return Most;
}

struct Sizes {
  std::size_t Hosts = 0;
  std::size_t Engines = 0;
  Duration Between{}; ///< Two requests.
};

class EngineRestsAtSize : public testing::TestWithParam<Sizes> {};

/// Guards against requests that go on to an engine in the rest that it asked
/// for.
TEST_P(EngineRestsAtSize, AreGivenByEachHostThatWasTurnedAway) {
  const Sizes Of = GetParam();
  HostCrowd Crowd(Of.Hosts, Of.Engines);
  Crowd.publish(1);
  Crowd.run(seconds(25));
  offer(Crowd, seconds(3), Of.Between);
  // The first engines are those that short prompts are gathered on.
  Crowd.setShedding(0, seconds(3));
  Crowd.setShedding(1, seconds(3));
  Crowd.takeTally();
  offer(Crowd, seconds(10), Of.Between);
  for (const std::size_t Engine : {0, 1}) {
    const auto &Arrivals = Crowd.arrivals(Engine);
    EXPECT_TRUE(std::ranges::any_of(Arrivals, [](const auto &Each) {
      return Each.RestAsked > Duration(0);
    })) << "it never asked for rest";
    EXPECT_EQ(mostInOneRest(Arrivals), 0U);
  }
  const HostCrowd::Tally Tally = Crowd.takeTally();
  EXPECT_EQ(lostOf(Tally), 0U) << "other engines have room for all";
  EXPECT_EQ(Tally.SentBack, 0U);
}

INSTANTIATE_TEST_SUITE_P(All, EngineRestsAtSize,
                         testing::Values(Sizes{7, 14, milliseconds(20)},
                                         Sizes{16, 24, milliseconds(12)},
                                         Sizes{88, 51, milliseconds(8)},
                                         Sizes{300, 112, milliseconds(5)}),
                         [](const auto &Of) {
                           return "Hosts" + std::to_string(Of.param.Hosts);
                         });

} // namespace
} // namespace banyanpick
