/// \file
/// Guards against answers by an older version of the configuration after the
/// time in which a version has to be in force everywhere. Hosts run late, hear
/// late of versions and receive large documents slowly.
#include "auto/manyhosts/SimulationLoad.h"

#include "base/Random.h"

#include <gtest/gtest.h>

#include <map>

namespace banyanpick {
namespace {

/// Longest time from the acknowledgement of a version until all answers are
/// made by it.
constexpr seconds InForceWithin(3);

/// Longest delay of a host's control thread.
constexpr milliseconds MaxControlDelay(1000);

/// The largest document that the store accepts in one record.
constexpr std::size_t DocumentBytes = 500'000;

constexpr double SmallestLink = 2.5e6; ///< Bytes a second.
constexpr double SmallestCores = 0.12;

/// Counts answers by a version that was superseded in time.
class AnswerJudge {
public:
  void published(std::uint64_t Version, Time At) {
    this->Acknowledged[Version] = At + Duration(HostSimulation::StoreDelay);
  }

  std::size_t
  countOutdated(std::span<const HostSimulation::Decision> Decisions) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        Decisions, [this](const HostSimulation::Decision &Made) {
          return this->isOutdated(Made);
        }));
  }

private:
  bool isOutdated(const HostSimulation::Decision &Made) const {
    const auto Next = this->Acknowledged.upper_bound(Made.Version);
    return Made.Version > 0 && Next != this->Acknowledged.end() &&
           Made.RequestedAt > Next->second + InForceWithin;
  }

  std::map<std::uint64_t, Time> Acknowledged;
};

constexpr milliseconds RequestInterval(4);

/// Mean time between two delays of one host.
constexpr milliseconds DelayInterval(1500);

/// Delays random hosts.
void delayHosts(HostSimulation &Simulated, Random &Rng) {
  for (std::size_t Host = 0; Host < Simulated.size(); ++Host)
    if (!Simulated.isPaused(Host) &&
        Rng.below(DelayInterval / RequestInterval) == 0)
      Simulated.pause(Host, MaxControlDelay * (1 + Rng.below(4)) / 4);
}

/// Delays random hosts, and sends requests on known and unknown routes to all.
void offerMixedLoad(HostSimulation &Simulated, Random &Rng, Duration For) {
  const Time Until = Simulated.now() + For;
  while (Simulated.now() < Until) {
    delayHosts(Simulated, Rng);
    const std::size_t Host = Rng.below(Simulated.size());
    if (Rng.below(2) == 0)
      Simulated.sendUnknownRoute(Host);
    else
      Simulated.sendRequest(Host, milliseconds(600));
    Simulated.run(RequestInterval);
  }
}

/// Returns the number of answers by an older version in a run whose faults and
/// versions are drawn from the seed.
std::size_t countOutdatedAnswers(std::uint64_t Seed, std::size_t Hosts) {
  Random Rng(Seed);
  AnswerJudge Judge;
  HostSimulation Simulated(Hosts, 20);
  Simulated.publish(1);
  Simulated.run(seconds(20));
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    const bool IsSmall = Rng.below(3) > 0;
    Simulated.setResources(Host, {IsSmall ? SmallestCores : 0.5, SmallestLink});
    if (Rng.below(3) == 0)
      Simulated.refuseStoreReads(Host);
  }
  Simulated.setDocumentSize(DocumentBytes);
  for (std::uint64_t Version = 2; Version < 6; ++Version) {
    Simulated.publish(Version);
    Judge.published(Version, Simulated.now());
    offerMixedLoad(Simulated, Rng, milliseconds(500 + Rng.below(4000)));
  }
  offerMixedLoad(Simulated, Rng, InForceWithin + seconds(2));
  return Judge.countOutdated(Simulated.decisions());
}

/// Plays the seeds from 1 on. More hosts take longer, so they get fewer.
void expectNoOutdatedAnswers(std::size_t Hosts, std::uint64_t Seeds) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    EXPECT_EQ(countOutdatedAnswers(Seed, Hosts), 0U) << "seed " << Seed;
}

TEST(OutdatedAnswers, AreNotGivenBySevenLateHosts) {
  expectNoOutdatedAnswers(7, seedCount());
}

TEST(OutdatedAnswers, AreNotGivenBySeventyEightLateHosts) {
  expectNoOutdatedAnswers(78, (seedCount() + 9) / 10);
}

TEST(OutdatedAnswers, AreNotGivenByThreeHundredLateHosts) {
  expectNoOutdatedAnswers(300, (seedCount() + 19) / 20);
}

} // namespace
} // namespace banyanpick
