/// \file
/// Tests that all hosts together send a cold engine few enough requests in
/// every second, whatever fails meanwhile. A cold engine that gets well above
/// its rate crashes.
#include "auto/manyhosts/SimulationLoad.h"

#include "base/Random.h"
#include "base/RendezvousHash.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr double ColdRate = 23;
constexpr seconds ColdFor(6);
constexpr std::size_t EngineCount = 45;

/// Returns the maximum arrivals at the cold engine within one second.
std::size_t maxWithinSecond(const HostSimulation &Simulation,
                            std::size_t Engine) {
  std::vector<Time> Times;
  for (const HostSimulation::Arrival &Arrival : Simulation.arrivals(Engine))
    if (Arrival.AtColdEngine)
      Times.push_back(Arrival.At);
  std::size_t Max = 0;
  for (auto First = Times.begin(); First != Times.end(); ++First) {
    const auto Last = std::upper_bound(First, Times.end(), *First + seconds(1));
    Max = std::max(Max, static_cast<std::size_t>(Last - First));
  }
  return Max;
}

/// Checks the rule for all engines.
void expectRateKept(const HostSimulation &Simulation) {
  constexpr double Overshoot = 1.5;
  constexpr double Slack = 5;
  for (std::size_t Engine = 0; Engine < EngineCount; ++Engine)
    EXPECT_LE(static_cast<double>(maxWithinSecond(Simulation, Engine)),
              ColdRate * Overshoot + Slack)
        << Engine;
}

std::size_t arrivalsWhileCold(const HostSimulation &Simulation,
                              std::size_t Engine) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Simulation.arrivals(Engine), &HostSimulation::Arrival::AtColdEngine));
}

/// Hosts under load. The interval between two requests is that of a burst, in
/// which a few engines get more than the rate of a cold one.
struct BusyHosts : HostSimulation {
  static constexpr milliseconds Interval{4};

  explicit BusyHosts(std::size_t Hosts) : HostSimulation(Hosts, EngineCount) {
    this->setColdRate(ColdRate);
    this->publish(1);
    this->run(seconds(25));
    this->offer(seconds(3));
    this->takeTally();
  }

  /// Sends short requests to the active hosts in turn. Their engines run so
  /// many of them that the busiest get more than the rate of a cold engine.
  void offer(Duration For) {
    std::size_t Asked = 0;
    while (Asked + 1 < this->size() && !this->isRunning(Asked))
      ++Asked;
    auto Active = this->resolvedHosts(Asked);
    if (Active.empty())
      Active = {Asked};
    const Time Until = this->now() + For;
    for (; this->now() < Until; ++this->Count) {
      const std::size_t Host = Active[this->Count % Active.size()];
      if (this->isRunning(Host))
        this->sendRequest(Host, milliseconds(130 + this->Count % 9 * 10));
      this->run(Interval);
    }
  }

  /// Returns the engine that got the most requests so far.
  std::size_t busiest() const {
    std::size_t Result = 0;
    for (std::size_t Engine = 0; Engine < EngineCount; ++Engine)
      if (this->arrivals(Engine).size() > this->arrivals(Result).size())
        Result = Engine;
    return Result;
  }

  /// Returns the host that leases the engine's quota.
  std::size_t allocatorOf(std::size_t Engine) {
    const auto WeightOf = [&](std::size_t Host) {
      return rendezvousWeight(this->engineName(Engine), this->hostName(Host));
    };
    const auto Active = this->resolvedHosts(0);
    return *std::ranges::max_element(Active, {}, WeightOf);
  }

private:
  std::size_t Count = 0;
};

class ColdEnginesAtSize : public testing::TestWithParam<std::size_t> {};

TEST_P(ColdEnginesAtSize, AnEngineInUseTurnsCold) {
  BusyHosts Simulation(GetParam());
  const std::size_t Engine = Simulation.busiest();
  Simulation.setCold(Engine, ColdFor);
  Simulation.offer(ColdFor);
  expectRateKept(Simulation);
  EXPECT_GE(arrivalsWhileCold(Simulation, Engine), 10U);
  EXPECT_EQ(lostRequests(Simulation.takeTally()), 0U)
      << "the other engines serve what does not fit";
}

TEST_P(ColdEnginesAtSize, TheAllocatorDies) {
  BusyHosts Simulation(GetParam());
  const std::size_t Engine = Simulation.busiest();
  Simulation.setCold(Engine, ColdFor);
  Simulation.offer(milliseconds(1500));
  Simulation.kill(Simulation.allocatorOf(Engine));
  Simulation.offer(ColdFor);
  expectRateKept(Simulation);
}

TEST_P(ColdEnginesAtSize, HostsWithLeasesAreCutOff) {
  BusyHosts Simulation(GetParam());
  const std::size_t Engine = Simulation.busiest();
  constexpr seconds Long(12);
  Simulation.setCold(Engine, Long);
  Simulation.offer(milliseconds(1500));
  Simulation.setPartitioned(Simulation.allocatorOf(Engine), true);
  Simulation.offer(milliseconds(500));
  const auto Active = Simulation.resolvedHosts(0);
  for (std::size_t Index = 0; Index < Active.size() / 3; ++Index)
    Simulation.setPartitioned(Active[Index], true);
  Simulation.offer(Long);
  expectRateKept(Simulation);
}

TEST_P(ColdEnginesAtSize, HostsHearOneAfterTheOther) {
  BusyHosts Simulation(GetParam());
  const std::size_t Engine = Simulation.busiest();
  // Hosts whose processes pause hear late and send what they had decided.
  const auto Active = Simulation.resolvedHosts(0);
  for (std::size_t Index = 0; Index < Active.size(); Index += 2)
    Simulation.pause(Active[Index], milliseconds(100 + 40 * Index));
  Simulation.setCold(Engine, ColdFor);
  Simulation.offer(ColdFor);
  expectRateKept(Simulation);
}

TEST_P(ColdEnginesAtSize, AZoneReturnsColdIntoABurst) {
  BusyHosts Simulation(GetParam());
  for (std::size_t Engine = 0; Engine < EngineCount; Engine += 3)
    Simulation.unregister(Engine);
  Simulation.offer(seconds(4));
  Simulation.takeTally();
  std::size_t Served = 0;
  for (std::size_t Engine = 0; Engine < EngineCount; Engine += 3)
    Simulation.setCold(Engine, ColdFor);
  Simulation.offer(ColdFor);
  for (std::size_t Engine = 0; Engine < EngineCount; Engine += 3)
    Served += arrivalsWhileCold(Simulation, Engine);
  expectRateKept(Simulation);
  EXPECT_GE(Served, 20U) << "cold engines take their part of the burst";
  EXPECT_EQ(lostRequests(Simulation.takeTally()), 0U);
}

TEST_P(ColdEnginesAtSize, AllHostsRestartWhileItIsCold) {
  BusyHosts Simulation(GetParam());
  const std::size_t Engine = Simulation.busiest();
  Simulation.setCold(Engine, seconds(10));
  Simulation.offer(seconds(1));
  for (std::size_t Host = 0; Host < Simulation.size(); ++Host)
    Simulation.kill(Host);
  Simulation.run(milliseconds(1100));
  restoreAll(Simulation);
  for (int Part = 0; Part < 40; ++Part)
    Simulation.offer(milliseconds(200));
  expectRateKept(Simulation);
}

INSTANTIATE_TEST_SUITE_P(All, ColdEnginesAtSize, testing::Values(16, 80),
                         [](const auto &Info) {
                           return "Hosts" + std::to_string(Info.param);
                         });

TEST(ColdEngines, WithoutADeclaredRateNothingChanges) {
  BusyHosts Simulation(16);
  const std::size_t Engine = Simulation.busiest();
  Simulation.setColdRate(0);
  Simulation.publish(2);
  Simulation.offer(seconds(3));
  const Time From = Simulation.now();
  Simulation.setCold(Engine, ColdFor);
  Simulation.offer(ColdFor);
  EXPECT_GT(countSince(Simulation.arrivals(Engine), From),
            ColdRate * inSeconds(ColdFor));
  EXPECT_EQ(Simulation.takeTally().Messages.count("limits"), 0U);
}

TEST(ColdEngines, KeepTheirRateInRandomRuns) {
  for (std::uint64_t Seed = 1; Seed <= seedCount() / 4 + 1; ++Seed) {
    SCOPED_TRACE(Seed);
    Random Numbers(Seed);
    BusyHosts Simulation(8 + Seed % 9);
    for (int Step = 0; Step < 12; ++Step) {
      const std::size_t Host = Numbers.below(Simulation.size());
      switch (Numbers.below(5)) {
      case 0:
        Simulation.kill(Host);
        break;
      case 1:
        Simulation.setPartitioned(Host, true);
        break;
      case 2:
        restoreAll(Simulation);
        break;
      default:
        Simulation.setCold(Numbers.below(EngineCount), seconds(4));
        break;
      }
      Simulation.offer(seconds(1));
    }
    expectRateKept(Simulation);
  }
}

} // namespace
} // namespace banyanpick
