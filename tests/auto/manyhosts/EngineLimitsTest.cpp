/// \file
/// Engines that name how many requests they take, before many hosts: together
/// they keep to it, whoever dies, joins, stands still or is cut off.
#include "auto/manyhosts/SimulationLoad.h"

#include "base/Random.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// All hosts keep to a limit so long after it was first named,
constexpr seconds HeededAfter(3);

/// and count what an engine gets in any such time.
constexpr seconds Window(4);

/// The most requests that may come within a window, as the platform counts.
double mostAllowed(double PerSecond) {
  constexpr double Factor = 1.5;
  constexpr double More = 5;
  return Factor * PerSecond * inSeconds(Window) + More;
}

/// The most arrivals within one window, of those from \p From on that come from
/// hosts which \p Counts.
template <class Predicate>
std::size_t mostWithin(std::span<const HostSimulation::Arrival> Arrivals,
                       Time From, Predicate Counts) {
  std::vector<Time> Times;
  for (const HostSimulation::Arrival &Each : Arrivals)
    if (Each.At >= From && Counts(Each.From))
      Times.push_back(Each.At);
  std::size_t Most = 0;
  for (auto First = Times.begin(); First != Times.end(); ++First) {
    const auto Last =
        std::upper_bound(First, Times.end(), *First + Duration(Window));
    Most = std::max(Most, static_cast<std::size_t>(Last - First));
  }
  return Most;
}

std::size_t mostWithin(std::span<const HostSimulation::Arrival> Arrivals,
                       Time From) {
  return mostWithin(Arrivals, From, [](std::size_t) { return true; });
}

struct Sizes {
  std::size_t Hosts = 0;
  std::size_t Engines = 0;
  Duration Between{};  ///< Two requests.
  double LeastUse = 0; ///< The aim: the share of the limit that is used.
};

class EngineLimitsAtSize : public testing::TestWithParam<Sizes> {};

TEST_P(EngineLimitsAtSize, AreKeptByAllTogetherAndUsed) {
  const Sizes Of = GetParam();
  constexpr double PerSecond = 1.6;
  HostSimulation Crowd(Of.Hosts, Of.Engines);
  Crowd.publish(1);
  Crowd.run(seconds(25));
  offerLoad(Crowd, seconds(3), Of.Between);
  // The first engines are those that short prompts are gathered on.
  Crowd.setLimit(0, PerSecond);
  Crowd.setLimit(1, PerSecond);
  const Time Named = Crowd.now();
  Crowd.takeTally();
  offerLoad(Crowd, seconds(20), Of.Between);
  const Time Heeded = Named + HeededAfter;
  for (const std::size_t Engine : {0, 1}) {
    EXPECT_LE(static_cast<double>(mostWithin(Crowd.arrivals(Engine), Heeded)),
              mostAllowed(PerSecond));
    // Those that decide hear of it within 200 ms, from the first answer on.
    const Time Heard = Named + milliseconds(400);
    EXPECT_LE(static_cast<double>(mostWithin(Crowd.arrivals(Engine), Heard)),
              mostAllowed(PerSecond));
    const auto Used =
        static_cast<double>(countSince(Crowd.arrivals(Engine), Heeded));
    EXPECT_GE(Used,
              PerSecond * inSeconds(seconds(20) - HeededAfter) * Of.LeastUse);
  }
  const HostSimulation::Tally Tally = Crowd.takeTally();
  EXPECT_EQ(lostRequests(Tally), 0U) << "other engines have room for all";
  EXPECT_EQ(Tally.RetryLaterAnswers, 0U);
  // What a host says does not grow with the hosts.
  constexpr double MostEachSecond = 12;
  const auto Said = Tally.Messages.find("limits");
  ASSERT_NE(Said, Tally.Messages.end());
  EXPECT_LE(static_cast<double>(Said->second),
            MostEachSecond * 20 *
                static_cast<double>(std::min<std::size_t>(Of.Hosts, 40)));
}

INSTANTIATE_TEST_SUITE_P(
    All, EngineLimitsAtSize,
    testing::Values(Sizes{7, 14, milliseconds(20), 0.85},
                    Sizes{16, 24, milliseconds(12), 0.85},
                    Sizes{88, 51, milliseconds(8), 0.75},
                    Sizes{300, 112, milliseconds(5), 0.75}),
    [](const auto &Of) { return "Hosts" + std::to_string(Of.param.Hosts); });

/// Seven hosts of which one engine's limit is known.
struct Limited : HostSimulation {
  static constexpr double PerSecond = 1.6;

  Limited() : HostSimulation(7, 14) {
    this->publish(1);
    this->run(seconds(15));
    offerLoad(*this, seconds(2), milliseconds(20));
    this->setLimit(0, PerSecond);
    offerLoad(*this, HeededAfter, milliseconds(20));
  }
};

TEST(EngineLimits, AreKeptWhileEachHostDiesAndReturnsInTurn) {
  Limited Crowd;
  const Time From = Crowd.now();
  for (std::size_t Host = 0; Host < Crowd.size(); ++Host) {
    Crowd.kill(Host);
    offerLoad(Crowd, seconds(3), milliseconds(20));
    Crowd.restart(Host);
    offerLoad(Crowd, seconds(3), milliseconds(20));
  }
  EXPECT_LE(static_cast<double>(mostWithin(Crowd.arrivals(0), From)),
            mostAllowed(Limited::PerSecond));
}

TEST(EngineLimits, AreKeptWhileEachHostIsApartForAWhile) {
  Limited Crowd;
  const Time From = Crowd.now();
  for (std::size_t Host = 0; Host < Crowd.size(); ++Host) {
    Crowd.setPartitioned(Host, true);
    offerLoad(Crowd, seconds(4), milliseconds(20));
    Crowd.setPartitioned(Host, false);
    offerLoad(Crowd, seconds(4), milliseconds(20));
  }
  // Also counting what those apart send, who can't know of the others.
  EXPECT_LE(static_cast<double>(mostWithin(Crowd.arrivals(0), From)),
            mostAllowed(Limited::PerSecond) * 2);
  for (std::size_t Apart = 0; Apart < Crowd.size(); ++Apart)
    EXPECT_LE(static_cast<double>(
                  mostWithin(Crowd.arrivals(0), From,
                             [&](std::size_t Host) { return Host != Apart; })),
              mostAllowed(Limited::PerSecond) * 2)
        << Apart;
}

TEST(EngineLimits, EndSoonAfterTheEngineNamesNoneAnyMore) {
  Limited Crowd;
  Crowd.setLimit(0, std::nullopt);
  offerLoad(Crowd, seconds(3), milliseconds(20));
  const Time From = Crowd.now();
  offerLoad(Crowd, Window, milliseconds(20));
  EXPECT_GT(static_cast<double>(countSince(Crowd.arrivals(0), From)),
            mostAllowed(Limited::PerSecond));
}

TEST(EngineLimits, EndAlsoForAHostThatWasApartMeanwhile) {
  Limited Crowd;
  constexpr std::size_t Apart = 3;
  Crowd.setPartitioned(Apart, true);
  Crowd.setLimit(0, std::nullopt);
  // Too short for the others to take it for dead.
  offerLoad(Crowd, milliseconds(600), milliseconds(20));
  Crowd.setPartitioned(Apart, false);
  offerLoad(Crowd, seconds(2), milliseconds(20));
  const Time From = Crowd.now();
  for (int Each = 0; Each < 100; ++Each) {
    Crowd.sendRequest(Apart, milliseconds(300));
    Crowd.run(milliseconds(20));
  }
  EXPECT_GT(countSince(Crowd.arrivals(0), From), 10U);
}

TEST(EngineLimits, OfNothingLeaveARequestNowAndThenWhichShowsTheirEnd) {
  Limited Crowd;
  Crowd.setLimit(0, 0);
  offerLoad(Crowd, HeededAfter, milliseconds(20));
  const Time From = Crowd.now();
  offerLoad(Crowd, seconds(20), milliseconds(20));
  EXPECT_LE(mostWithin(Crowd.arrivals(0), From), 5U);
  EXPECT_GE(countSince(Crowd.arrivals(0), From), 2U);
  Crowd.setLimit(0, std::nullopt);
  offerLoad(Crowd, seconds(6), milliseconds(20));
  const Time Ended = Crowd.now();
  offerLoad(Crowd, Window, milliseconds(20));
  EXPECT_GT(countSince(Crowd.arrivals(0), Ended), 10U);
}

TEST(EngineLimits, ThatRiseAndFallAreFollowed) {
  Limited Crowd;
  Crowd.setLimit(0, 6);
  offerLoad(Crowd, HeededAfter, milliseconds(20));
  Time From = Crowd.now();
  offerLoad(Crowd, seconds(8), milliseconds(20));
  EXPECT_GE(static_cast<double>(countSince(Crowd.arrivals(0), From)),
            6 * 8 * 0.85);
  Crowd.setLimit(0, 0.5);
  offerLoad(Crowd, HeededAfter, milliseconds(20));
  From = Crowd.now();
  offerLoad(Crowd, seconds(8), milliseconds(20));
  EXPECT_LE(static_cast<double>(mostWithin(Crowd.arrivals(0), From)),
            mostAllowed(0.5));
}

TEST(EngineLimits, OfAllEnginesSendCallersBackAtOnceAndNobodyWaitsInVain) {
  HostSimulation Crowd(7, 14);
  Crowd.publish(1);
  Crowd.run(seconds(15));
  offerLoad(Crowd, seconds(2), milliseconds(25));
  // 28 a second in all, of the 40 that come.
  for (std::size_t Engine = 0; Engine < 14; ++Engine)
    Crowd.setLimit(Engine, 2);
  const Time Named = Crowd.now();
  offerLoad(Crowd, HeededAfter, milliseconds(25));
  Crowd.takeTally();
  const std::size_t Asked = offerLoad(Crowd, seconds(15), milliseconds(25));
  for (std::size_t Engine = 0; Engine < 14; ++Engine)
    EXPECT_LE(static_cast<double>(
                  mostWithin(Crowd.arrivals(Engine), Named + HeededAfter)),
              mostAllowed(2))
        << Engine;
  const HostSimulation::Tally Tally = Crowd.takeTally();
  EXPECT_GT(Tally.RetryLaterAnswers, 0U);
  // 28 of 40 can be served, and hardly any place is left unused.
  EXPECT_GE(static_cast<double>(Tally.InTime + Tally.Late),
            static_cast<double>(Asked) * 0.7 * 0.85);
}

/// What a random run does to its hosts and engines in one second.
class RandomLimits {
public:
  explicit RandomLimits(std::uint64_t Seed)
      : Numbers(Seed), Crowd(7 + Seed % 10, 10 + Seed % 7),
        Disturbed(Crowd.size(), false) {}

  /// Draws faults and limits for twenty seconds, and checks engine 0, whose
  /// limit is named from the beginning.
  void run() {
    this->Crowd.publish(1);
    this->Crowd.run(seconds(15));
    this->name(0);
    const Time Named = this->Crowd.now();
    offerLoad(this->Crowd, HeededAfter, milliseconds(25));
    for (int Second = 0; Second < 20; ++Second) {
      this->disturb();
      offerLoad(this->Crowd, seconds(1), milliseconds(20 + this->below(20)));
    }
    // A restart, freeze or cut of a host excuses that host.
    EXPECT_LE(static_cast<double>(mostWithin(
                  this->Crowd.arrivals(0), Named + HeededAfter,
                  [&](std::size_t Host) { return !this->Disturbed[Host]; })),
              mostAllowed(this->Highest));
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
  double Highest = 0; ///< Limit of engine 0 so far.
};

TEST(EngineLimits, AreKeptInRandomRuns) {
  for (std::uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    SCOPED_TRACE(Seed);
    RandomLimits(Seed).run();
  }
}

} // namespace
} // namespace banyanpick
