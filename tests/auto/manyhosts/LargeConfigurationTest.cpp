/// \file
/// Guards against a configuration that reaches hosts late, or whose transfer
/// delays heartbeats so that healthy hosts are suspected. This happens with a
/// configuration of the largest allowed size that most hosts can only get from
/// each other, over limited links, during a burst of requests.
#include "auto/manyhosts/SimulationLoad.h"

#include "base/Random.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// Longest time from the acknowledgement of a version until it is in force on
/// all hosts.
constexpr seconds InForceWithin(3);

/// Longest time from the end of the disturbances until no host suspects
/// another.
constexpr seconds SettledWithin(2);

constexpr std::size_t MaxHeldBytes = 40'000'000;

/// The largest document that the store accepts in one record.
constexpr std::size_t MaxDocumentBytes = 500'000;

/// Gives every host the smallest link, 20 Mbit/s, and every third host an
/// eighth of a core.
void setCapacities(HostSimulation &Simulated) {
  constexpr double SmallestLink = 2.5e6;
  for (std::size_t Host = 0; Host < Simulated.size(); ++Host)
    Simulated.setResources(Host, {Host % 3 == 0 ? 0.12 : 0.5, SmallestLink});
}

struct Scenario {
  std::size_t Hosts = 0;
  std::size_t Engines = 0;
  std::size_t DocumentBytes = MaxDocumentBytes;
};

/// Runs a scenario whose faults and versions are drawn from the seed.
void runScenario(std::uint64_t Seed, const Scenario &Sizes) {
  constexpr milliseconds RequestInterval(8);
  const std::size_t Hosts = Sizes.Hosts;
  Random RandomSource(Seed);
  HostSimulation Simulated(Hosts, Sizes.Engines);
  Simulated.publish(1);
  Simulated.run(seconds(20));
  setCapacities(Simulated);
  offerLoad(Simulated, seconds(2), RequestInterval);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    if (RandomSource.below(3) == 0)
      Simulated.refuseStoreReads(Host);
  Simulated.setDocumentSize(Sizes.DocumentBytes * (1 + RandomSource.below(2)) /
                            2);
  // Publishes some versions in quick succession. The last one revokes a key.
  std::uint64_t Version = 1;
  for (std::size_t Count = 1 + RandomSource.below(3); Count > 0; --Count) {
    Simulated.publish(++Version);
    offerLoad(Simulated, milliseconds(400 + RandomSource.below(800)),
              RequestInterval / 2);
  }
  Simulated.publish(++Version);
  offerLoad(Simulated, InForceWithin, RequestInterval / 2);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    EXPECT_EQ(Simulated.versionAt(Host), Version) << "host " << Host;
  offerLoad(Simulated, SettledWithin, RequestInterval);
  std::size_t Suspicions = 0;
  for (int Check = 0; Check < 20; ++Check) {
    offerLoad(Simulated, milliseconds(100), RequestInterval);
    Suspicions += Simulated.falseSuspicions();
  }
  EXPECT_EQ(Suspicions, 0U);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    EXPECT_LE(Simulated.peakBufferedBytes(Host), MaxHeldBytes)
        << "host " << Host;
}

TEST(SmallConfiguration, ReachesAllHostsWithoutSuspicions) {
  runScenario(1, {78, 69, 2000});
}

TEST(LargeConfiguration, ReachesAllHostsOnceWithoutSuspicions) {
  runScenario(1, {78, 69});
}

TEST(LargeConfiguration, ReachesThreeHundredHostsOnceWithoutSuspicions) {
  runScenario(2, {300, 112});
}

TEST(LargeConfiguration, ReachesAllHostsInRandomRuns) {
  const std::uint64_t SeedLimit = seedCount() / 10;
  for (std::uint64_t Seed = 1; Seed <= SeedLimit; ++Seed) {
    SCOPED_TRACE(Seed);
    runScenario(Seed, {40 + Seed % 60, 50});
  }
}

} // namespace
} // namespace banyanpick
