/// \file
/// Engines that say in their answers that they leave, and engines that do all
/// of it in random runs, before many hosts.
#include "auto/manyhosts/SimulationLoad.h"

#include "base/Random.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace banyanpick {
namespace {

/// Others than the host that heard it first know of it within so long.
constexpr milliseconds ToldWithin(200);

/// A host heeds a refusal so long after it came.
constexpr milliseconds RestHeededAfter(500);

/// An answer is with the host so long after the request came; the crowd's
/// engines begin within 120 ms.
constexpr milliseconds AnsweredWithin(125);

class EngineLeavingAtSize : public testing::TestWithParam<SimulationSize> {};

/// Guards against requests that begin on an engine after it has said that it
/// leaves, though its registration says otherwise again and again.
TEST_P(EngineLeavingAtSize, GetsNothingNewFromAnyHost) {
  const SimulationSize Of = GetParam();
  HostSimulation Crowd(Of.Hosts, Of.Engines);
  Crowd.publish(1);
  Crowd.run(seconds(25));
  offerLoad(Crowd, seconds(3), Of.RequestInterval);
  Crowd.setSignalsLeaving(0);
  Crowd.takeTally();
  const Time From = Crowd.now();
  offerLoad(Crowd, seconds(6), Of.RequestInterval);
  const auto &Arrivals = Crowd.arrivals(0);
  ASSERT_FALSE(Arrivals.empty());
  const Time Known = From + AnsweredWithin + ToldWithin;
  EXPECT_EQ(countSince(Arrivals, Known), 0U);
  const HostSimulation::Tally Tally = Crowd.takeTally();
  EXPECT_EQ(lostRequests(Tally), 0U) << "other engines have room for all";
  // Each host that heard it tells the hosts that decide, once.
  const auto Said = Tally.Messages.find("signals");
  ASSERT_NE(Said, Tally.Messages.end());
  constexpr std::size_t MostActive = 40;
  EXPECT_LE(Said->second, MostActive * MostActive);
}

INSTANTIATE_TEST_SUITE_P(All, EngineLeavingAtSize,
                         testing::ValuesIn(StandardSizes),
                         [](const auto &Of) { return sizeName(Of); });

/// Engines that shed, limit, leave and serve again, and hosts that die, stand
/// still and are cut off, by turns and together.
class RandomSignals {
public:
  explicit RandomSignals(std::uint64_t Seed)
      : Numbers(Seed), Crowd(7 + Seed % 10, 10 + Seed % 7) {}

  void run() {
    this->Crowd.publish(1);
    this->Crowd.run(seconds(15));
    offerLoad(this->Crowd, seconds(2), milliseconds(25));
    constexpr int Seconds = 20;
    for (int Second = 0; Second < Seconds; ++Second) {
      this->change();
      this->disturb();
      offerLoad(this->Crowd, seconds(1), milliseconds(20 + this->below(20)));
    }
    for (std::size_t Engine = 0; Engine < this->engines(); ++Engine)
      this->judge(Engine);
  }

private:
  std::uint64_t below(std::uint64_t Bound) {
    return this->Numbers.below(Bound);
  }
  std::size_t engines() const { return this->Crowd.engines(); }

  void change() {
    const std::size_t Engine = this->below(this->engines());
    switch (this->below(6)) {
    case 0:
    case 1:
      this->Crowd.setShedding(Engine, milliseconds(this->below(5000)));
      return;
    case 2:
      this->Crowd.setShedding(Engine, std::nullopt);
      return;
    case 3:
      this->Crowd.setLimit(Engine,
                           0.4 + static_cast<double>(this->below(40)) / 10);
      return;
    case 4:
      this->Crowd.setLimit(Engine, std::nullopt);
      return;
    default:
      // Some stay, so that there is something left to choose.
      if (Engine % 3 == 0)
        this->Crowd.setSignalsLeaving(Engine);
      return;
    }
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
      restoreAll(this->Crowd);
      return;
    default:
      return;
    }
    this->Disturbed[Host].push_back(this->Crowd.now());
  }

  /// Whether a restart, freeze or cut of the host between the two excuses it.
  bool isExcused(std::size_t Host, Time From, Time To) const {
    const auto Found = this->Disturbed.find(Host);
    if (Found == this->Disturbed.end())
      return false;
    return std::ranges::any_of(
        Found->second, [&](Time Each) { return Each >= From && Each <= To; });
  }

  void judge(std::size_t Engine) const {
    const auto &Arrivals = this->Crowd.arrivals(Engine);
    for (auto Asked = Arrivals.begin(); Asked != Arrivals.end(); ++Asked)
      for (auto Each = Asked + 1; Each != Arrivals.end(); ++Each) {
        if (Each->From != Asked->From ||
            this->isExcused(Asked->From, Asked->At, Each->At))
          continue;
        const bool InRest = Each->At > Asked->At + RestHeededAfter &&
                            Each->At < Asked->At + Asked->RequestedBackoff;
        EXPECT_FALSE(InRest)
            << "engine " << Engine << " host " << Each->From << " asked at "
            << Asked->At.time_since_epoch().count() << " for "
            << Asked->RequestedBackoff.count() << ", sent at "
            << Each->At.time_since_epoch().count();
        const bool AfterWord =
            Asked->SignalledLeaving && Each->At > Asked->AnsweredAt;
        EXPECT_FALSE(AfterWord)
            << "engine " << Engine << " host " << Each->From << " leaving";
      }
  }

  Random Numbers;
  HostSimulation Crowd;
  std::map<std::size_t, std::vector<Time>> Disturbed;
};

TEST(EngineSignals, AreHeededInRandomRuns) {
  for (std::uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    SCOPED_TRACE(Seed);
    RandomSignals(Seed).run();
  }
}

} // namespace
} // namespace banyanpick
