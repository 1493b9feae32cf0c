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
  HostSimulation Crowd(Size.Hosts, Size.Engines);
  Crowd.publish(1);
  Crowd.run(seconds(25));
  offerLoad(Crowd, seconds(3), Size.Between);
  // Short prompts are gathered on the first engines.
  Crowd.setLimit(0, PerSecond);
  Crowd.setLimit(1, PerSecond);
  const Time Named = Crowd.now();
  Crowd.takeTally();
  offerLoad(Crowd, seconds(20), Size.Between);
  const Time Enforced = Named + EnforcedAfter;
  for (const std::size_t Engine : {0, 1}) {
    EXPECT_LE(static_cast<double>(maxWithin(Crowd.arrivals(Engine), Enforced)),
              maxAllowed(PerSecond));
    // Active hosts know the limit within 200 ms of the first answer.
    const Time Heard = Named + milliseconds(400);
    EXPECT_LE(static_cast<double>(maxWithin(Crowd.arrivals(Engine), Heard)),
              maxAllowed(PerSecond));
    const auto Used =
        static_cast<double>(countSince(Crowd.arrivals(Engine), Enforced));
    EXPECT_GE(Used,
              PerSecond * inSeconds(seconds(20) - EnforcedAfter) * Size.MinUse);
  }
  const HostSimulation::Tally Tally = Crowd.takeTally();
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
struct LimitedCrowd : HostSimulation {
  static constexpr double PerSecond = 1.6;

  LimitedCrowd() : HostSimulation(7, 14) {
    this->publish(1);
    this->run(seconds(15));
    offerLoad(*this, seconds(2), milliseconds(20));
    this->setLimit(0, PerSecond);
    offerLoad(*this, EnforcedAfter, milliseconds(20));
  }
};

TEST(EngineLimits, AreKeptWhileEachHostRestartsInTurn) {
  LimitedCrowd Crowd;
  const Time From = Crowd.now();
  for (std::size_t Host = 0; Host < Crowd.size(); ++Host) {
    Crowd.kill(Host);
    offerLoad(Crowd, seconds(3), milliseconds(20));
    Crowd.restart(Host);
    offerLoad(Crowd, seconds(3), milliseconds(20));
  }
  EXPECT_LE(static_cast<double>(maxWithin(Crowd.arrivals(0), From)),
            maxAllowed(LimitedCrowd::PerSecond));
}

TEST(EngineLimits, AreKeptWhileEachHostIsPartitionedInTurn) {
  LimitedCrowd Crowd;
  const Time From = Crowd.now();
  for (std::size_t Host = 0; Host < Crowd.size(); ++Host) {
    Crowd.setPartitioned(Host, true);
    offerLoad(Crowd, seconds(4), milliseconds(20));
    Crowd.setPartitioned(Host, false);
    offerLoad(Crowd, seconds(4), milliseconds(20));
  }
  // The bound includes requests of partitioned hosts, which cannot know of the
  // others.
  EXPECT_LE(static_cast<double>(maxWithin(Crowd.arrivals(0), From)),
            maxAllowed(LimitedCrowd::PerSecond) * 2);
  for (std::size_t Apart = 0; Apart < Crowd.size(); ++Apart)
    EXPECT_LE(static_cast<double>(
                  maxWithin(Crowd.arrivals(0), From,
                            [&](std::size_t Host) { return Host != Apart; })),
              maxAllowed(LimitedCrowd::PerSecond) * 2)
        << Apart;
}

TEST(EngineLimits, EndSoonAfterTheEngineNamesNoLimit) {
  LimitedCrowd Crowd;
  Crowd.setLimit(0, std::nullopt);
  offerLoad(Crowd, seconds(3), milliseconds(20));
  const Time From = Crowd.now();
  offerLoad(Crowd, Window, milliseconds(20));
  EXPECT_GT(static_cast<double>(countSince(Crowd.arrivals(0), From)),
            maxAllowed(LimitedCrowd::PerSecond));
}

TEST(EngineLimits, EndAlsoForAPartitionedHost) {
  LimitedCrowd Crowd;
  constexpr std::size_t Apart = 3;
  Crowd.setPartitioned(Apart, true);
  Crowd.setLimit(0, std::nullopt);
  // Too short for the others to declare the host dead.
  offerLoad(Crowd, milliseconds(600), milliseconds(20));
  Crowd.setPartitioned(Apart, false);
  offerLoad(Crowd, seconds(2), milliseconds(20));
  const Time From = Crowd.now();
  for (int Index = 0; Index < 100; ++Index) {
    Crowd.sendRequest(Apart, milliseconds(300));
    Crowd.run(milliseconds(20));
  }
  EXPECT_GT(countSince(Crowd.arrivals(0), From), 10U);
}

TEST(EngineLimits, OfZeroAllowProbesThatShowTheirEnd) {
  LimitedCrowd Crowd;
  Crowd.setLimit(0, 0);
  offerLoad(Crowd, EnforcedAfter, milliseconds(20));
  const Time From = Crowd.now();
  offerLoad(Crowd, seconds(20), milliseconds(20));
  EXPECT_LE(maxWithin(Crowd.arrivals(0), From), 5U);
  EXPECT_GE(countSince(Crowd.arrivals(0), From), 2U);
  Crowd.setLimit(0, std::nullopt);
  offerLoad(Crowd, seconds(6), milliseconds(20));
  const Time Ended = Crowd.now();
  offerLoad(Crowd, Window, milliseconds(20));
  EXPECT_GT(countSince(Crowd.arrivals(0), Ended), 10U);
}

TEST(EngineLimits, AreFollowedWhenTheyChange) {
  LimitedCrowd Crowd;
  Crowd.setLimit(0, 6);
  offerLoad(Crowd, EnforcedAfter, milliseconds(20));
  Time From = Crowd.now();
  offerLoad(Crowd, seconds(8), milliseconds(20));
  EXPECT_GE(static_cast<double>(countSince(Crowd.arrivals(0), From)),
            6 * 8 * 0.85);
  Crowd.setLimit(0, 0.5);
  offerLoad(Crowd, EnforcedAfter, milliseconds(20));
  From = Crowd.now();
  offerLoad(Crowd, seconds(8), milliseconds(20));
  EXPECT_LE(static_cast<double>(maxWithin(Crowd.arrivals(0), From)),
            maxAllowed(0.5));
}

TEST(EngineLimits, OnAllEnginesRefuseCallersAtOnceAndUseTheQuota) {
  HostSimulation Crowd(7, 14);
  Crowd.publish(1);
  Crowd.run(seconds(15));
  offerLoad(Crowd, seconds(2), milliseconds(25));
  // 28 requests a second in all, of the 40 that arrive.
  for (std::size_t Engine = 0; Engine < 14; ++Engine)
    Crowd.setLimit(Engine, 2);
  const Time Named = Crowd.now();
  offerLoad(Crowd, EnforcedAfter, milliseconds(25));
  Crowd.takeTally();
  const std::size_t Asked = offerLoad(Crowd, seconds(15), milliseconds(25));
  for (std::size_t Engine = 0; Engine < 14; ++Engine)
    EXPECT_LE(static_cast<double>(
                  maxWithin(Crowd.arrivals(Engine), Named + EnforcedAfter)),
              maxAllowed(2))
        << Engine;
  const HostSimulation::Tally Tally = Crowd.takeTally();
  EXPECT_GT(Tally.RetryLaterAnswers, 0U);
  // 28 of 40 requests can be served, with hardly any quota unused.
  EXPECT_GE(static_cast<double>(Tally.InTime + Tally.Late),
            static_cast<double>(Asked) * 0.7 * 0.85);
}

/// A random run that disturbs hosts and engines once a second.
class RandomLimits {
public:
  explicit RandomLimits(std::uint64_t Seed)
      : Numbers(Seed), Crowd(7 + Seed % 10, 10 + Seed % 7),
        Disturbed(Crowd.size(), false) {}

  /// Draws faults and limits for twenty seconds, and checks engine 0, which
  /// names a limit from the start.
  void run() {
    this->Crowd.publish(1);
    this->Crowd.run(seconds(15));
    this->name(0);
    const Time Named = this->Crowd.now();
    offerLoad(this->Crowd, EnforcedAfter, milliseconds(25));
    for (int Second = 0; Second < 20; ++Second) {
      this->disturb();
      offerLoad(this->Crowd, seconds(1), milliseconds(20 + this->below(20)));
    }
    // Hosts that restarted, froze or were partitioned are not counted.
    EXPECT_LE(static_cast<double>(maxWithin(
                  this->Crowd.arrivals(0), Named + EnforcedAfter,
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
    this->Crowd.setLimit(Engine, PerSecond);
  }

  void disturb() {
    const std::size_t Host = this->below(this->Crowd.size());
    switch (this->below(6)) {
    case 0:
      this->Crowd.kill(Host);
      break;
    case 1:
      if (this->Crowd.isRunning(Host))
        this->Crowd.pause(Host, milliseconds(200 + this->below(3000)));
      break;
    case 2:
      this->Crowd.setPartitioned(Host, true);
      break;
    case 3:
      this->name(1 + this->below(5));
      return;
    case 4:
      this->name(0);
      return;
    default:
      restoreAll(this->Crowd);
      return;
    }
    this->Disturbed[Host] = true;
  }

  Random Numbers;
  HostSimulation Crowd;
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
