/// \file
/// Tests engines that announce in their answers that they leave, and random
/// runs of all signals, with many hosts.
#include "auto/manyhosts/SimulationLoad.h"

#include "base/Random.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace banyanpick {
namespace {

/// Time within which a report of a host reaches the others.
constexpr milliseconds ReportedWithin(200);

/// Time after which a host follows a refusal.
constexpr milliseconds BackoffEnforcedAfter(500);

/// Time within which an answer reaches the host; simulated engines begin their
/// answers within 120 ms.
constexpr milliseconds AnsweredWithin(125);

class EngineLeavingAtSize : public testing::TestWithParam<SimulationSize> {};

/// Guards against new requests to an engine that has announced that it leaves,
/// although its registration contradicts this repeatedly.
TEST_P(EngineLeavingAtSize, GetsNoNewRequestsFromAnyHost) {
  const SimulationSize Size = GetParam();
  HostSimulation Simulation(Size.Hosts, Size.Engines);
  Simulation.publish(1);
  Simulation.run(seconds(25));
  offerLoad(Simulation, seconds(3), Size.RequestInterval);
  Simulation.setSignalsLeaving(0);
  Simulation.takeTally();
  const Time From = Simulation.now();
  offerLoad(Simulation, seconds(6), Size.RequestInterval);
  const auto &Arrivals = Simulation.arrivals(0);
  ASSERT_FALSE(Arrivals.empty());
  const Time Known = From + AnsweredWithin + ReportedWithin;
  EXPECT_EQ(countSince(Arrivals, Known), 0U);
  const HostSimulation::Tally Tally = Simulation.takeTally();
  EXPECT_EQ(lostRequests(Tally), 0U) << "the other engines accept all requests";
  // Each host that receives the signal reports it once to the active hosts.
  const auto Sent = Tally.Messages.find("signals");
  ASSERT_NE(Sent, Tally.Messages.end());
  constexpr std::size_t MaxActive = 40;
  EXPECT_LE(Sent->second, MaxActive * MaxActive);
}

INSTANTIATE_TEST_SUITE_P(All, EngineLeavingAtSize,
                         testing::ValuesIn(StandardSizes),
                         [](const auto &Info) { return sizeName(Info); });

/// A random run in which engines shed load, name limits, leave and serve again,
/// while hosts die, freeze and are partitioned.
class RandomSignals {
public:
  explicit RandomSignals(std::uint64_t Seed)
      : Numbers(Seed), Simulation(7 + Seed % 10, 10 + Seed % 7) {}

  void run() {
    this->Simulation.publish(1);
    this->Simulation.run(seconds(15));
    offerLoad(this->Simulation, seconds(2), milliseconds(25));
    constexpr int Seconds = 20;
    for (int Second = 0; Second < Seconds; ++Second) {
      this->change();
      this->disturb();
      offerLoad(this->Simulation, seconds(1),
                milliseconds(20 + this->below(20)));
    }
    for (std::size_t Engine = 0; Engine < this->engines(); ++Engine)
      this->check(Engine);
  }

private:
  std::uint64_t below(std::uint64_t Bound) {
    return this->Numbers.below(Bound);
  }
  std::size_t engines() const { return this->Simulation.engines(); }

  void change() {
    const std::size_t Engine = this->below(this->engines());
    switch (this->below(6)) {
    case 0:
    case 1:
      this->Simulation.setShedding(Engine, milliseconds(this->below(5000)));
      return;
    case 2:
      this->Simulation.setShedding(Engine, std::nullopt);
      return;
    case 3:
      this->Simulation.setLimit(
          Engine, 0.4 + static_cast<double>(this->below(40)) / 10);
      return;
    case 4:
      this->Simulation.setLimit(Engine, std::nullopt);
      return;
    default:
      // Some engines never leave, so that candidates remain.
      if (Engine % 3 == 0)
        this->Simulation.setSignalsLeaving(Engine);
      return;
    }
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
      restoreAll(this->Simulation);
      return;
    default:
      return;
    }
    this->Disturbed[Host].push_back(this->Simulation.now());
  }

  /// Returns whether the host restarted, froze or was partitioned between the
  /// two times.
  bool isExcused(std::size_t Host, Time From, Time To) const {
    const auto Found = this->Disturbed.find(Host);
    if (Found == this->Disturbed.end())
      return false;
    return std::ranges::any_of(Found->second, [&](Time Disturbance) {
      return Disturbance >= From && Disturbance <= To;
    });
  }

  void check(std::size_t Engine) const {
    const auto &Arrivals = this->Simulation.arrivals(Engine);
    for (auto Asked = Arrivals.begin(); Asked != Arrivals.end(); ++Asked)
      for (auto Later = Asked + 1; Later != Arrivals.end(); ++Later) {
        if (Later->From != Asked->From ||
            this->isExcused(Asked->From, Asked->At, Later->At))
          continue;
        const bool DuringBackoff =
            Later->At > Asked->At + BackoffEnforcedAfter &&
            Later->At < Asked->At + Asked->RequestedBackoff;
        EXPECT_FALSE(DuringBackoff)
            << "engine " << Engine << " host " << Later->From << " asked at "
            << Asked->At.time_since_epoch().count() << " for "
            << Asked->RequestedBackoff.count() << ", sent at "
            << Later->At.time_since_epoch().count();
        const bool AfterLeaving =
            Asked->SignalledLeaving && Later->At > Asked->AnsweredAt;
        EXPECT_FALSE(AfterLeaving)
            << "engine " << Engine << " host " << Later->From << " leaving";
      }
  }

  Random Numbers;
  HostSimulation Simulation;
  std::map<std::size_t, std::vector<Time>> Disturbed;
};

TEST(EngineSignals, AreFollowedInRandomRuns) {
  for (std::uint64_t Seed = 1; Seed <= seedCount(); ++Seed) {
    SCOPED_TRACE(Seed);
    RandomSignals(Seed).run();
  }
}

} // namespace
} // namespace banyanpick
