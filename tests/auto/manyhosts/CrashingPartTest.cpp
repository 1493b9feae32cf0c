/// \file
/// Guards against parts of prompts that crash one engine after another, because
/// the requests that share them have nothing else in common, and against
/// harmless parts that are refused because they ran beside such a part.
#include "auto/manyhosts/SimulationLoad.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// How long after the fifth crash requests with the part may still be sent
/// freely, and how often later.
constexpr seconds Allowance(3);
constexpr std::ptrdiff_t MaxLaterSends = 3;

/// Share of the harmless requests whose answers begin at the first attempt.
constexpr double MinServedShare = 0.95;

const Fingerprint CrashingPart(~std::uint64_t(0));
constexpr std::uint64_t SharedParts = 20;

/// Two parts that many requests share.
std::vector<Fingerprint> harmlessParts(std::uint64_t Number) {
  return {Fingerprint(1'000'000 + Number % SharedParts),
          Fingerprint(2'000'000 + Number * 7 % SharedParts)};
}

/// Which position the crashing part has among the parts of a prompt.
std::vector<Fingerprint> crashingParts(std::uint64_t Number,
                                       std::size_t Position) {
  std::vector<Fingerprint> Result = harmlessParts(Number);
  Result.insert(Result.begin() + static_cast<std::ptrdiff_t>(Position % 3),
                CrashingPart);
  return Result;
}

/// Sends prompts that share parts to the serving hosts in turn. One of
/// \p CrashingOneIn has the crashing part; 0: none.
void offerPrompts(HostSimulation &Simulation, const SimulationSize &Size,
                  Duration For, std::size_t CrashingOneIn, std::uint64_t Seed) {
  const std::vector<std::size_t> Serving = Simulation.resolvedHosts(0);
  const Time Until = Simulation.now() + For;
  for (std::size_t Count = 0; Simulation.now() < Until; ++Count) {
    const std::size_t Host = Serving[Count % Serving.size()];
    const bool Crashes = CrashingOneIn > 0 && Count % CrashingOneIn == 0;
    Simulation.sendPrompt(Host,
                          Crashes ? crashingParts(Count + Seed, Seed)
                                  : harmlessParts(Count + Seed),
                          Crashes);
    Simulation.run(Size.RequestInterval);
  }
}

std::ptrdiff_t sendsAfterFifthCrash(const HostSimulation &Simulation) {
  const std::vector<Time> &Crashes = Simulation.crashes();
  if (Crashes.size() < 5)
    return 0;
  const Time Since = Crashes[4] + Allowance;
  return std::ranges::count_if(Simulation.crashingArrivals(),
                               [&](Time At) { return At > Since; });
}

double servedShare(const HostSimulation::Tally &Counts) {
  return static_cast<double>(Counts.SharingServed) /
         static_cast<double>(Counts.SharingTries);
}

class CrashingPartAtSize : public testing::TestWithParam<SimulationSize> {};

TEST_P(CrashingPartAtSize, IsNotSentLongAfterItCrashedFiveEngines) {
  const SimulationSize Size = GetParam();
  for (std::uint64_t Seed = 0; Seed < seedCount(); ++Seed) {
    SCOPED_TRACE(Seed);
    HostSimulation Simulation(Size.Hosts, Size.Engines);
    Simulation.publish(1);
    Simulation.run(seconds(25) + milliseconds(37) * Seed);
    offerPrompts(Simulation, Size, seconds(3), 0, Seed);
    offerPrompts(Simulation, Size, seconds(9), 15 + Seed % 30, Seed);
    EXPECT_GE(Simulation.crashes().size(), 3U);
    EXPECT_LE(sendsAfterFifthCrash(Simulation), MaxLaterSends);
    Simulation.takeTally();
    offerPrompts(Simulation, Size, seconds(5), 15 + Seed % 30, Seed);
    EXPECT_GE(servedShare(Simulation.takeTally()), MinServedShare);
  }
}

/// Guards against harmless parts that are refused because engines that ran them
/// died of something else.
TEST_P(CrashingPartAtSize, HarmlessPartsAreServedWhenEnginesDieTogether) {
  const SimulationSize Size = GetParam();
  for (std::uint64_t Seed = 0; Seed < seedCount(); ++Seed) {
    SCOPED_TRACE(Seed);
    HostSimulation Simulation(Size.Hosts, Size.Engines);
    Simulation.publish(1);
    Simulation.run(seconds(25) + milliseconds(37) * Seed);
    offerPrompts(Simulation, Size, seconds(3), 0, Seed);
    for (std::size_t Engine = 0; Engine < Size.Engines / 3; ++Engine)
      Simulation.crashEngine(Engine);
    offerPrompts(Simulation, Size, seconds(5), 0, Seed);
    Simulation.takeTally();
    offerPrompts(Simulation, Size, seconds(5), 0, Seed);
    EXPECT_GE(servedShare(Simulation.takeTally()), MinServedShare);
  }
}

INSTANTIATE_TEST_SUITE_P(All, CrashingPartAtSize,
                         testing::Values(StandardSizes[0], StandardSizes[1]),
                         [](const auto &Info) { return sizeName(Info); });

} // namespace
} // namespace banyanpick
