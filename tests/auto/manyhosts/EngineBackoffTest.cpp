/// \file
/// Tests that many hosts follow the backoff that engines request when they
/// refuse requests.
#include "auto/manyhosts/SimulationLoad.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// Time after which a host follows a refusal.
constexpr milliseconds EnforcedAfter(500);

/// Returns the maximum requests of one host that reached the engine during one
/// backoff requested of that host.
std::size_t
maxDuringBackoff(std::span<const HostSimulation::Arrival> Arrivals) {
  std::size_t Max = 0;
  for (const HostSimulation::Arrival &Asked : Arrivals) {
    const auto DuringBackoff =
        std::ranges::count_if(Arrivals, [&](const auto &Arrival) {
          return Arrival.From == Asked.From &&
                 Arrival.At > Asked.At + EnforcedAfter &&
                 Arrival.At < Asked.At + Asked.RequestedBackoff;
        });
    Max = std::max(Max, static_cast<std::size_t>(DuringBackoff));
  }
  return Max;
}

class EngineBackoffAtSize : public testing::TestWithParam<SimulationSize> {};

/// Guards against requests to an engine during the backoff that the engine
/// requested.
TEST_P(EngineBackoffAtSize, IsKeptByEachRefusedHost) {
  const SimulationSize Size = GetParam();
  HostSimulation Simulation(Size.Hosts, Size.Engines);
  Simulation.publish(1);
  Simulation.run(seconds(25));
  offerLoad(Simulation, seconds(3), Size.RequestInterval);
  // Short prompts are gathered on the first engines.
  Simulation.setShedding(0, seconds(3));
  Simulation.setShedding(1, seconds(3));
  Simulation.takeTally();
  offerLoad(Simulation, seconds(10), Size.RequestInterval);
  for (const std::size_t Engine : {0, 1}) {
    const auto &Arrivals = Simulation.arrivals(Engine);
    EXPECT_TRUE(std::ranges::any_of(Arrivals, [](const auto &Arrival) {
      return Arrival.RequestedBackoff > Duration(0);
    })) << "the engine never requested a backoff";
    EXPECT_EQ(maxDuringBackoff(Arrivals), 0U);
  }
  const HostSimulation::Tally Tally = Simulation.takeTally();
  EXPECT_EQ(lostRequests(Tally), 0U) << "the other engines accept all requests";
  EXPECT_EQ(Tally.RetryLaterAnswers, 0U);
}

INSTANTIATE_TEST_SUITE_P(All, EngineBackoffAtSize,
                         testing::ValuesIn(StandardSizes),
                         [](const auto &Info) { return sizeName(Info); });

std::size_t refusalsOf(const HostSimulation &Simulation) {
  std::size_t Sum = 0;
  for (std::size_t Engine = 0; Engine < Simulation.engines(); ++Engine)
    Sum += static_cast<std::size_t>(std::ranges::count_if(
        Simulation.arrivals(Engine), [](const auto &Arrival) {
          return Arrival.RequestedBackoff > Duration(0);
        }));
  return Sum;
}

class EngineBackoffInTurn : public testing::TestWithParam<SimulationSize> {};

/// Guards against each host learning separately, at the cost of a retry, that
/// an engine refuses all requests.
TEST_P(EngineBackoffInTurn, CostsLessThanHalfOfTheAllowedRetries) {
  const SimulationSize Size = GetParam();
  HostSimulation Simulation(Size.Hosts, Size.Engines);
  Simulation.publish(1);
  Simulation.run(seconds(25));
  offerLoad(Simulation, seconds(3), Size.RequestInterval);
  Simulation.takeTally();
  std::size_t Asked = 0;
  constexpr std::size_t Turns = 10;
  for (std::size_t Turn = 0; Turn < Turns; ++Turn) {
    Simulation.setShedding(Turn % Size.Engines, seconds(3));
    Asked += offerLoad(Simulation, seconds(2), Size.RequestInterval);
    Simulation.setShedding(Turn % Size.Engines, std::nullopt);
  }
  // The retry budget: a fifth of the requests, and a hundred more in ten
  // seconds.
  const double Allowed = static_cast<double>(Asked) * 0.2 + 100 * 2;
  EXPECT_LT(static_cast<double>(refusalsOf(Simulation)), Allowed / 2);
  const HostSimulation::Tally Tally = Simulation.takeTally();
  EXPECT_EQ(lostRequests(Tally), 0U);
  RecordProperty("refusals", static_cast<int>(refusalsOf(Simulation)));
  RecordProperty("requests", static_cast<int>(Asked));
  RecordProperty("in_time", static_cast<int>(Tally.InTime));
  RecordProperty("late", static_cast<int>(Tally.Late));
}

INSTANTIATE_TEST_SUITE_P(All, EngineBackoffInTurn,
                         testing::ValuesIn(StandardSizes),
                         [](const auto &Info) { return sizeName(Info); });

/// Guards against all hosts returning to an engine at once.
TEST(EngineBackoff, IsNotFollowedByALoadPeak) {
  HostSimulation Simulation(7, 14);
  Simulation.publish(1);
  Simulation.run(seconds(25));
  offerLoad(Simulation, seconds(4), milliseconds(20));
  const Time Before = Simulation.now() - seconds(3);
  const std::size_t Usual = countSince(Simulation.arrivals(0), Before);
  Simulation.setShedding(0, seconds(3));
  offerLoad(Simulation, seconds(1), milliseconds(20));
  Simulation.setShedding(0, std::nullopt);
  offerLoad(Simulation, seconds(2), milliseconds(20));
  const Time After = Simulation.now();
  offerLoad(Simulation, seconds(3), milliseconds(20));
  EXPECT_GT(countSince(Simulation.arrivals(0), After), 0U)
      << "the engine is used again";
  EXPECT_LE(static_cast<double>(countSince(Simulation.arrivals(0), After)),
            static_cast<double>(Usual) * 1.2 + 1);
}

} // namespace
} // namespace banyanpick
