/// \file
/// A configuration of the largest allowed size that most hosts can only get
/// from each other, over real links, beside a burst.
#include "auto/manyhosts/CrowdLoad.h"

#include "base/Random.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// A version is in force everywhere so long after it was acknowledged.
constexpr seconds InForceWithin(3);

/// Beliefs of each other are at rest so long after the causes have ended.
constexpr seconds SettledWithin(2);

constexpr std::size_t MostHeldBytes = 40'000'000;

/// As the store takes it in one record.
constexpr std::size_t LargestDocument = 500'000;

/// Twenty megabits a second, the smallest link; every third host has an eighth
/// of a core.
void giveMeans(HostCrowd &Crowd) {
  constexpr double SmallestLink = 2.5e6;
  for (std::size_t Host = 0; Host < Crowd.size(); ++Host)
    Crowd.setMeans(Host, {Host % 3 == 0 ? 0.12 : 0.5, SmallestLink});
}

struct Shape {
  std::size_t Hosts = 0;
  std::size_t Engines = 0;
  std::size_t DocumentBytes = LargestDocument;
};

/// What befalls the hosts, drawn from the seed.
void play(std::uint64_t Seed, const Shape &Of) {
  constexpr milliseconds Between(8);
  const std::size_t Hosts = Of.Hosts;
  Random Numbers(Seed);
  HostCrowd Crowd(Hosts, Of.Engines);
  Crowd.publish(1);
  Crowd.run(seconds(20));
  giveMeans(Crowd);
  offer(Crowd, seconds(2), Between);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    if (Numbers.below(3) == 0)
      Crowd.turnAway(Host);
  Crowd.setDocumentSize(Of.DocumentBytes * (1 + Numbers.below(2)) / 2);
  // Some versions in quick succession, the last of which takes a key away.
  std::uint64_t Version = 1;
  for (std::size_t Count = 1 + Numbers.below(3); Count > 0; --Count) {
    Crowd.publish(++Version);
    offer(Crowd, milliseconds(400 + Numbers.below(800)), Between / 2);
  }
  Crowd.publish(++Version);
  offer(Crowd, InForceWithin, Between / 2);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    EXPECT_EQ(Crowd.versionAt(Host), Version) << "host " << Host;
  offer(Crowd, SettledWithin, Between);
  std::size_t Doubts = 0;
  for (int Look = 0; Look < 20; ++Look) {
    offer(Crowd, milliseconds(100), Between);
    Doubts += Crowd.doubts();
  }
  EXPECT_EQ(Doubts, 0U);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    EXPECT_LE(Crowd.mostHeld(Host), MostHeldBytes) << "host " << Host;
}

TEST(SmallConfiguration, ReachesAllHostsAndLeavesThemAtRest) {
  play(1, {78, 69, 2000});
}

TEST(LargeConfiguration, ReachesAllHostsOnceAndLeavesThemAtRest) {
  play(1, {78, 69});
}

TEST(LargeConfiguration, ReachesThreeHundredHostsOnceAndLeavesThemAtRest) {
  play(2, {300, 112});
}

TEST(LargeConfiguration, ReachesAllHostsInRandomRuns) {
  const std::uint64_t Few = seedCount() / 10;
  for (std::uint64_t Seed = 1; Seed <= Few; ++Seed) {
    SCOPED_TRACE(Seed);
    play(Seed, {40 + Seed % 60, 50});
  }
}

} // namespace
} // namespace banyanpick
