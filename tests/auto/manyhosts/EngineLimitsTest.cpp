/// \file
/// Tests that many hosts together keep to the limits that engines name, while
/// hosts die, join, freeze or are partitioned.
#include "auto/manyhosts/SimulationLoad.h"

#include "base/Random.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// Time after which all hosts enforce a limit, from its first answer on.
constexpr seconds EnforcedAfter(3);

/// Length of the windows in which an engine's requests are counted.
constexpr seconds Window(4);

/// Returns the maximum requests within a window, by the platform's rule.
double maxAllowed(double PerSecond) {
  constexpr double Factor = 1.5;
  constexpr double More = 5;
  return Factor * PerSecond * inSeconds(Window) + More;
}

/// Returns the maximum arrivals within one window, from \p From on and of hosts
/// for which \p Counts holds.
template <class Predicate>
std::size_t maxWithin(std::span<const HostSimulation::Arrival> Arrivals,
                      Time From, Predicate Counts) {
  std::vector<Time> Times;
  for (const HostSimulation::Arrival &Arrival : Arrivals)
    if (Arrival.At >= From && Counts(Arrival.From))
      Times.push_back(Arrival.At);
  std::size_t Max = 0;
  for (auto First = Times.begin(); First != Times.end(); ++First) {
    const auto Last =
        std::upper_bound(First, Times.end(), *First + Duration(Window));
    Max = std::max(Max, static_cast<std::size_t>(Last - First));
  }
  return Max;
}

std::size_t maxWithin(std::span<const HostSimulation::Arrival> Arrivals,
                      Time From) {
  return maxWithin(Arrivals, From, [](std::size_t) { return true; });
}

struct Sizes {
  std::size_t Hosts = 0;
  std::size_t Engines = 0;
  Duration Between{}; ///< Interval between two requests.
  double MinUse = 0;  ///< The minimum share of the limit to use.
};

class EngineLimitsAtSize : public testing::TestWithParam<Sizes> {};

TEST_P(EngineLimitsAtSize, AreKeptByAllHostsTogetherAndUsed) {
  const Sizes Size = GetParam();
  constexpr double PerSecond = 1.6;
  HostSimulation Simulation(Size.Hosts, Size.Engines);
  Simulation.publish(1);
  Simulation.run(seconds(25));
  offerLoad(Simulation, seconds(3), Size.Between);
  // Short prompts are gathered on the first engines.
  Simulation.setLimit(0, PerSecond);
  Simulation.setLimit(1, PerSecond);
  const Time Named = Simulation.now();
  Simulation.takeTally();
  offerLoad(Simulation, seconds(20), Size.Between);
  const Time Enforced = Named + EnforcedAfter;
  for (const std::size_t Engine : {0, 1}) {
    EXPECT_LE(
        static_cast<double>(maxWithin(Simulation.arrivals(Engine), Enforced)),
        maxAllowed(PerSecond));
    // Active hosts know the limit within 200 ms of the first answer.
    const Time Heard = Named + milliseconds(400);
    EXPECT_LE(
        static_cast<double>(maxWithin(Simulation.arrivals(Engine), Heard)),
        maxAllowed(PerSecond));
    const auto Used =
        static_cast<double>(countSince(Simulation.arrivals(Engine), Enforced));
    EXPECT_GE(Used,
              PerSecond * inSeconds(seconds(20) - EnforcedAfter) * Size.MinUse);
  }
  const HostSimulation::Tally Tally = Simulation.takeTally();
  EXPECT_EQ(lostRequests(Tally), 0U) << "the other engines accept all requests";
  EXPECT_EQ(Tally.RetryLaterAnswers, 0U);
  // The messages of a host do not grow with the number of hosts.
  constexpr double MaxPerSecond = 12;
  const auto Sent = Tally.Messages.find("limits");
  ASSERT_NE(Sent, Tally.Messages.end());
  EXPECT_LE(static_cast<double>(Sent->second),
            MaxPerSecond * 20 *
                static_cast<double>(std::min<std::size_t>(Size.Hosts, 40)));
}

INSTANTIATE_TEST_SUITE_P(All, EngineLimitsAtSize,
                         testing::Values(Sizes{7, 14, milliseconds(20), 0.85},
                                         Sizes{16, 24, milliseconds(12), 0.85},
                                         Sizes{88, 51, milliseconds(8), 0.75},
                                         Sizes{300, 112, milliseconds(5),
                                               0.75}),
                         [](const auto &Info) {
                           return "Hosts" + std::to_string(Info.param.Hosts);
                         });

/// Seven simulated hosts that know the limit of one engine.
struct LimitedSimulation : HostSimulation {
  static constexpr double PerSecond = 1.6;

  LimitedSimulation() : HostSimulation(7, 14) {
    this->publish(1);
    this->run(seconds(15));
    offerLoad(*this, seconds(2), milliseconds(20));
    this->setLimit(0, PerSecond);
    offerLoad(*this, EnforcedAfter, milliseconds(20));
  }
};

TEST(EngineLimits, AreKeptWhileEachHostRestartsInTurn) {
  LimitedSimulation Simulation;
  const Time From = Simulation.now();
  for (std::size_t Host = 0; Host < Simulation.size(); ++Host) {
    Simulation.kill(Host);
    offerLoad(Simulation, seconds(3), milliseconds(20));
    Simulation.restart(Host);
    offerLoad(Simulation, seconds(3), milliseconds(20));
  }
  EXPECT_LE(static_cast<double>(maxWithin(Simulation.arrivals(0), From)),
            maxAllowed(LimitedSimulation::PerSecond));
}

TEST(EngineLimits, AreKeptWhileEachHostIsPartitionedInTurn) {
  LimitedSimulation Simulation;
  const Time From = Simulation.now();
  for (std::size_t Host = 0; Host < Simulation.size(); ++Host) {
    Simulation.setPartitioned(Host, true);
    offerLoad(Simulation, seconds(4), milliseconds(20));
    Simulation.setPartitioned(Host, false);
    offerLoad(Simulation, seconds(4), milliseconds(20));
  }
  // The bound includes requests of partitioned hosts, which cannot know of the
  // others.
  EXPECT_LE(static_cast<double>(maxWithin(Simulation.arrivals(0), From)),
            maxAllowed(LimitedSimulation::PerSecond) * 2);
  for (std::size_t Apart = 0; Apart < Simulation.size(); ++Apart)
    EXPECT_LE(static_cast<double>(
                  maxWithin(Simulation.arrivals(0), From,
                            [&](std::size_t Host) { return Host != Apart; })),
              maxAllowed(LimitedSimulation::PerSecond) * 2)
        << Apart;
}

TEST(EngineLimits, EndSoonAfterTheEngineNamesNoLimit) {
  LimitedSimulation Simulation;
  Simulation.setLimit(0, std::nullopt);
  offerLoad(Simulation, seconds(3), milliseconds(20));
  const Time From = Simulation.now();
  offerLoad(Simulation, Window, milliseconds(20));
  EXPECT_GT(static_cast<double>(countSince(Simulation.arrivals(0), From)),
            maxAllowed(LimitedSimulation::PerSecond));
}

TEST(EngineLimits, EndAlsoForAPartitionedHost) {
  LimitedSimulation Simulation;
  constexpr std::size_t Apart = 3;
  Simulation.setPartitioned(Apart, true);
  Simulation.setLimit(0, std::nullopt);
  // Too short for the others to declare the host dead.
  offerLoad(Simulation, milliseconds(600), milliseconds(20));
  Simulation.setPartitioned(Apart, false);
  offerLoad(Simulation, seconds(2), milliseconds(20));
  const Time From = Simulation.now();
  for (int Index = 0; Index < 100; ++Index) {
    Simulation.sendRequest(Apart, milliseconds(300));
    Simulation.run(milliseconds(20));
  }
  EXPECT_GT(countSince(Simulation.arrivals(0), From), 10U);
}

TEST(EngineLimits, OfZeroAllowProbesThatShowTheirEnd) {
  LimitedSimulation Simulation;
  Simulation.setLimit(0, 0);
  offerLoad(Simulation, EnforcedAfter, milliseconds(20));
  const Time From = Simulation.now();
  offerLoad(Simulation, seconds(20), milliseconds(20));
  EXPECT_LE(maxWithin(Simulation.arrivals(0), From), 5U);
  EXPECT_GE(countSince(Simulation.arrivals(0), From), 2U);
  Simulation.setLimit(0, std::nullopt);
  offerLoad(Simulation, seconds(6), milliseconds(20));
  const Time Ended = Simulation.now();
  offerLoad(Simulation, Window, milliseconds(20));
  EXPECT_GT(countSince(Simulation.arrivals(0), Ended), 10U);
}

TEST(EngineLimits, AreFollowedWhenTheyChange) {
  LimitedSimulation Simulation;
  Simulation.setLimit(0, 6);
  offerLoad(Simulation, EnforcedAfter, milliseconds(20));
  Time From = Simulation.now();
  offerLoad(Simulation, seconds(8), milliseconds(20));
  EXPECT_GE(static_cast<double>(countSince(Simulation.arrivals(0), From)),
            6 * 8 * 0.85);
  Simulation.setLimit(0, 0.5);
  offerLoad(Simulation, EnforcedAfter, milliseconds(20));
  From = Simulation.now();
  offerLoad(Simulation, seconds(8), milliseconds(20));
  EXPECT_LE(static_cast<double>(maxWithin(Simulation.arrivals(0), From)),
            maxAllowed(0.5));
}

TEST(EngineLimits, OnAllEnginesRefuseCallersAtOnceAndUseTheQuota) {
  HostSimulation Simulation(7, 14);
  Simulation.publish(1);
  Simulation.run(seconds(15));
  offerLoad(Simulation, seconds(2), milliseconds(25));
  // 28 requests a second in all, of the 40 that arrive.
  for (std::size_t Engine = 0; Engine < 14; ++Engine)
    Simulation.setLimit(Engine, 2);
  const Time Named = Simulation.now();
  offerLoad(Simulation, EnforcedAfter, milliseconds(25));
  Simulation.takeTally();
  const std::size_t Asked =
      offerLoad(Simulation, seconds(15), milliseconds(25));
  for (std::size_t Engine = 0; Engine < 14; ++Engine)
    EXPECT_LE(static_cast<double>(maxWithin(Simulation.arrivals(Engine),
                                            Named + EnforcedAfter)),
              maxAllowed(2))
        << Engine;
  const HostSimulation::Tally Tally = Simulation.takeTally();
  EXPECT_GT(Tally.RetryLaterAnswers, 0U);
  // 28 of 40 requests can be served, with hardly any quota unused.
  EXPECT_GE(static_cast<double>(Tally.InTime + Tally.Late),
            static_cast<double>(Asked) * 0.7 * 0.85);
}

/// A random run that disturbs hosts and engines once a second.
class RandomLimits {
public:
  explicit RandomLimits(std::uint64_t Seed)
      : Numbers(Seed), Simulation(7 + Seed % 10, 10 + Seed % 7),
        Disturbed(Simulation.size(), false) {}

  /// Draws faults and limits for twenty seconds, and checks engine 0, which
  /// names a limit from the start.
  void run() {
    this->Simulation.publish(1);
    this->Simulation.run(seconds(15));
    this->name(0);
    const Time Named = this->Simulation.now();
    offerLoad(this->Simulation, EnforcedAfter, milliseconds(25));
    for (int Second = 0; Second < 20; ++Second) {
      this->disturb();
      offerLoad(this->Simulation, seconds(1),
                milliseconds(20 + this->below(20)));
    }
    // Hosts that restarted, froze or were partitioned are not counted.
    EXPECT_LE(static_cast<double>(maxWithin(
                  this->Simulation.arrivals(0), Named + EnforcedAfter,
                  [&](std::size_t Host) { return !this->Disturbed[Host]; })),
              maxAllowed(this->Highest));
  }

private:
  std::uint64_t below(std::uint64_t Bound) {
    return this->Numbers.below(Bound);
  }

  void name(std::size_t Engine) {
    const double PerSecond = 0.4 + static_cast<double>(this->below(40)) / 10;
    if (Engine == 0)
      this->Highest = std::max(this->Highest, PerSecond);
    this->Simulation.setLimit(Engine, PerSecond);
  }

  void disturb() {
    const std::size_t Host = this->below(this->Simulation.size());
    switch (this->below(6)) {
    case 0:
      this->Simulation.kill(Host);
      break;
    case 1:
      if (this->Simulation.isRunning(Host))
        this->Simulation.pause(Host, milliseconds(200 + this->below(3000)));
      break;
    case 2:
      this->Simulation.setPartitioned(Host, true);
      break;
    case 3:
      this->name(1 + this->below(5));
      return;
    case 4:
      this->name(0);
      return;
    default:
      restoreAll(this->Simulation);
      return;
    }
    this->Disturbed[Host] = true;
  }

  Random Numbers;
  HostSimulation Simulation;
  std::vector<bool> Disturbed;
  double Highest = 0; ///< Highest limit of engine 0 so far.
};

TEST(EngineLimits, AreKeptInRandomRuns) {
  for (std::uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    SCOPED_TRACE(Seed);
    RandomLimits(Seed).run();
  }
}

} // namespace
} // namespace banyanpick
