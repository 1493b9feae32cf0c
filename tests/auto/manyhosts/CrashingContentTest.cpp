/// \file
/// Guards against content that many hosts go on sending after it has crashed
/// engines.
#include "auto/manyhosts/SimulationLoad.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// How long after the third crash the content may still be sent freely, and how
/// often later.
constexpr seconds Allowance(3);
constexpr std::ptrdiff_t MaxLaterSends = 3;

/// Time between two long prompts; more than the engines can prefill.
constexpr milliseconds LongInterval(150);

/// Sends the crashing content in place of every few of the long prompts, beside
/// short ones, to the serving hosts in turn.
void offerCrashingLoad(HostSimulation &Simulation, const SimulationSize &Size,
                       Duration For, std::size_t CrashingOneIn) {
  const std::vector<std::size_t> Serving = Simulation.resolvedHosts(0);
  const Time Until = Simulation.now() + For;
  for (std::size_t Count = 0; Simulation.now() < Until; ++Count) {
    const std::size_t Host = Serving[Count % Serving.size()];
    if (Count % CrashingOneIn == 0)
      Simulation.sendCrashing(Host);
    else
      Simulation.sendLong(Host, seconds(2));
    offerLoad(Simulation, LongInterval, Size.RequestInterval);
  }
}

std::ptrdiff_t sendsAfterThirdCrash(const HostSimulation &Simulation) {
  const std::vector<Time> &Crashes = Simulation.crashes();
  if (Crashes.size() < 3)
    return 0;
  const Time Since = Crashes[2] + Allowance;
  return std::ranges::count_if(Simulation.crashingArrivals(),
                               [&](Time At) { return At > Since; });
}

/// Three crashes quarantine the content. Meanwhile each host may have sent it
/// once more.
std::size_t maxCrashes(const SimulationSize &Size) { return 3 + Size.Hosts; }

class CrashingContentAtSize : public testing::TestWithParam<SimulationSize> {};

TEST_P(CrashingContentAtSize, IsNotSentLongAfterItCrashedThreeEngines) {
  const SimulationSize Size = GetParam();
  for (std::uint64_t Seed = 0; Seed < seedCount(); ++Seed) {
    HostSimulation Simulation(Size.Hosts, Size.Engines);
    Simulation.publish(1);
    Simulation.run(seconds(25) + milliseconds(37) * Seed);
    offerLoad(Simulation, seconds(1), Size.RequestInterval);
    offerCrashingLoad(Simulation, Size, seconds(10), 2 + Seed % 3);
    EXPECT_GE(Simulation.crashes().size(), 3U) << "seed " << Seed;
    EXPECT_LE(Simulation.crashes().size(), maxCrashes(Size)) << "seed " << Seed;
    EXPECT_LE(sendsAfterThirdCrash(Simulation), MaxLaterSends)
        << "seed " << Seed;
  }
}

/// Guards against a quarantine that is lost with the processes that know it.
TEST_P(CrashingContentAtSize, StaysQuarantinedWhenAllHostsRestart) {
  const SimulationSize Size = GetParam();
  for (std::uint64_t Seed = 0; Seed < seedCount(); ++Seed) {
    HostSimulation Simulation(Size.Hosts, Size.Engines);
    Simulation.publish(1);
    Simulation.run(seconds(25) + milliseconds(37) * Seed);
    offerCrashingLoad(Simulation, Size, seconds(4), 2 + Seed % 3);
    restartAllUnderLoad(Simulation, Size.RequestInterval);
    offerCrashingLoad(Simulation, Size, seconds(5), 2 + Seed % 3);
    EXPECT_LE(sendsAfterThirdCrash(Simulation), MaxLaterSends)
        << "seed " << Seed;
  }
}

INSTANTIATE_TEST_SUITE_P(All, CrashingContentAtSize,
                         testing::Values(StandardSizes[0], StandardSizes[1]),
                         [](const auto &Info) { return sizeName(Info); });

} // namespace
} // namespace banyanpick
