/// \file
/// Engines that turn hosts away and ask them for rest, before many hosts.
#include "auto/manyhosts/SimulationLoad.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// A host heeds a refusal so long after it came.
constexpr milliseconds HeededAfter(500);

/// The most requests of one host that reached the engine in one rest that it
/// had asked that host for.
std::size_t mostInOneRest(std::span<const HostSimulation::Arrival> Arrivals) {
  std::size_t Most = 0;
  for (const HostSimulation::Arrival &Asked : Arrivals) {
    const auto InRest = std::ranges::count_if(Arrivals, [&](const auto &Each) {
      return Each.From == Asked.From && Each.At > Asked.At + HeededAfter &&
             Each.At < Asked.At + Asked.RequestedBackoff;
    });
    Most = std::max(Most, static_cast<std::size_t>(InRest));
  }
  return Most;
}

class EngineRestsAtSize : public testing::TestWithParam<SimulationSize> {};

/// Guards against requests that go on to an engine in the rest that it asked
/// for.
TEST_P(EngineRestsAtSize, AreGivenByEachHostThatWasTurnedAway) {
  const SimulationSize Of = GetParam();
  HostSimulation Crowd(Of.Hosts, Of.Engines);
  Crowd.publish(1);
  Crowd.run(seconds(25));
  offerLoad(Crowd, seconds(3), Of.RequestInterval);
  // The first engines are those that short prompts are gathered on.
  Crowd.setShedding(0, seconds(3));
  Crowd.setShedding(1, seconds(3));
  Crowd.takeTally();
  offerLoad(Crowd, seconds(10), Of.RequestInterval);
  for (const std::size_t Engine : {0, 1}) {
    const auto &Arrivals = Crowd.arrivals(Engine);
    EXPECT_TRUE(std::ranges::any_of(Arrivals, [](const auto &Each) {
      return Each.RequestedBackoff > Duration(0);
    })) << "it never asked for rest";
    EXPECT_EQ(mostInOneRest(Arrivals), 0U);
  }
  const HostSimulation::Tally Tally = Crowd.takeTally();
  EXPECT_EQ(lostRequests(Tally), 0U) << "other engines have room for all";
  EXPECT_EQ(Tally.RetryLaterAnswers, 0U);
}

INSTANTIATE_TEST_SUITE_P(All, EngineRestsAtSize,
                         testing::ValuesIn(StandardSizes),
                         [](const auto &Of) { return sizeName(Of); });

std::size_t refusalsOf(const HostSimulation &Crowd) {
  std::size_t Sum = 0;
  for (std::size_t Engine = 0; Engine < Crowd.engines(); ++Engine)
    Sum += static_cast<std::size_t>(
        std::ranges::count_if(Crowd.arrivals(Engine), [](const auto &Each) {
          return Each.RequestedBackoff > Duration(0);
        }));
  return Sum;
}

class EngineRestsInTurn : public testing::TestWithParam<SimulationSize> {};

/// Guards against hosts that find out one by one, each at the price of a
/// repeat, that an engine turns everybody away.
TEST_P(EngineRestsInTurn, CostLessThanHalfOfTheRepeatsThatAreAllowed) {
  const SimulationSize Of = GetParam();
  HostSimulation Crowd(Of.Hosts, Of.Engines);
  Crowd.publish(1);
  Crowd.run(seconds(25));
  offerLoad(Crowd, seconds(3), Of.RequestInterval);
  Crowd.takeTally();
  std::size_t Asked = 0;
  constexpr std::size_t Turns = 10;
  for (std::size_t Turn = 0; Turn < Turns; ++Turn) {
    Crowd.setShedding(Turn % Of.Engines, seconds(3));
    Asked += offerLoad(Crowd, seconds(2), Of.RequestInterval);
    Crowd.setShedding(Turn % Of.Engines, std::nullopt);
  }
  // A fifth of the requests, and a hundred more in ten seconds.
  const double Allowed = static_cast<double>(Asked) * 0.2 + 100 * 2;
  EXPECT_LT(static_cast<double>(refusalsOf(Crowd)), Allowed / 2);
  const HostSimulation::Tally Tally = Crowd.takeTally();
  EXPECT_EQ(lostRequests(Tally), 0U);
  RecordProperty("refusals", static_cast<int>(refusalsOf(Crowd)));
  RecordProperty("requests", static_cast<int>(Asked));
  RecordProperty("in_time", static_cast<int>(Tally.InTime));
  RecordProperty("late", static_cast<int>(Tally.Late));
}

INSTANTIATE_TEST_SUITE_P(All, EngineRestsInTurn,
                         testing::ValuesIn(StandardSizes),
                         [](const auto &Of) { return sizeName(Of); });

/// Guards against all hosts that come back to an engine at once.
TEST(EngineRests, AreFollowedByNoMoreLoadThanBefore) {
  HostSimulation Crowd(7, 14);
  Crowd.publish(1);
  Crowd.run(seconds(25));
  offerLoad(Crowd, seconds(4), milliseconds(20));
  const Time Before = Crowd.now() - seconds(3);
  const std::size_t Usual = countSince(Crowd.arrivals(0), Before);
  Crowd.setShedding(0, seconds(3));
  offerLoad(Crowd, seconds(1), milliseconds(20));
  Crowd.setShedding(0, std::nullopt);
  offerLoad(Crowd, seconds(2), milliseconds(20));
  const Time After = Crowd.now();
  offerLoad(Crowd, seconds(3), milliseconds(20));
  EXPECT_GT(countSince(Crowd.arrivals(0), After), 0U) << "it is used again";
  EXPECT_LE(static_cast<double>(countSince(Crowd.arrivals(0), After)),
            static_cast<double>(Usual) * 1.2 + 1);
}

} // namespace
} // namespace banyanpick
