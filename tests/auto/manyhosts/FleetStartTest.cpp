/// \file
/// Guards against a start, or a return after all hosts were killed, whose cost
/// for the store and for each host grows with the number of hosts.
#include "auto/manyhosts/HostSimulation.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr std::size_t EngineCount = 112;
constexpr std::size_t SeedCount = 3;

/// Callers arrive this long after the hosts start.
constexpr seconds StartTime(13);

/// The hosts chosen to read the store and their deputies, and the seeds, which
/// read it before they are known.
constexpr std::size_t MaxReaders = 4 + 8 + SeedCount;

/// Every second a few hosts read the list for those that know nobody.
constexpr std::uint64_t MaxListReads = 2 * MaxReaders;

/// A host of the largest deployments.
constexpr HostSimulation::Resources SmallHost{0.12, 2.5e6};

struct StartedHosts : HostSimulation {
  explicit StartedHosts(std::size_t Hosts)
      : HostSimulation(Hosts, EngineCount) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      this->setResources(Host, SmallHost);
    this->publish(1);
  }

  /// Returns how many running hosts have the configuration.
  std::size_t hostsWithConfiguration() const {
    std::size_t Result = 0;
    for (std::size_t Host = 0; Host < this->size(); ++Host)
      Result += this->isRunning(Host) && this->versionAt(Host) == 1 ? 1 : 0;
    return Result;
  }

  void expectAllKnowEachOther(std::size_t Running) const {
    for (std::size_t Host = 0; Host < this->size(); ++Host)
      if (this->isRunning(Host))
        EXPECT_EQ(this->knownPeers(Host), Running - 1) << Host;
  }
};

class FleetStart : public testing::TestWithParam<std::size_t> {};

TEST_P(FleetStart, CallsTheStoreFromFewHosts) {
  StartedHosts Simulation(GetParam());
  Simulation.run(StartTime);
  Simulation.expectAllKnowEachOther(GetParam());
  EXPECT_EQ(Simulation.hostsWithConfiguration(), GetParam());
  const auto Tally = Simulation.takeTally();
  EXPECT_LE(Tally.Readers.size(), MaxReaders);
  EXPECT_LE(Tally.Announcements, MaxReaders);
  EXPECT_LE(Tally.ListReads, MaxListReads);
}

TEST_P(FleetStart, SucceedsWithoutSeeds) {
  StartedHosts Simulation(GetParam());
  for (std::size_t Seed = 0; Seed < SeedCount; ++Seed)
    Simulation.kill(Seed);
  Simulation.run(StartTime);
  Simulation.expectAllKnowEachOther(GetParam() - SeedCount);
  EXPECT_EQ(Simulation.hostsWithConfiguration(), GetParam() - SeedCount);
}

TEST_P(FleetStart, IsRepeatedByAllHostsWithinTwoSeconds) {
  StartedHosts Simulation(GetParam());
  Simulation.run(StartTime);
  Simulation.killAll(HostSimulation::OrphanedWork::Dropped, {});
  Simulation.run(seconds(1));
  Simulation.takeTally();
  Simulation.restartAll();
  Simulation.run(seconds(2));
  EXPECT_EQ(Simulation.hostsWithConfiguration(), GetParam());
  EXPECT_LE(Simulation.takeTally().Readers.size(), MaxReaders);
}

INSTANTIATE_TEST_SUITE_P(Sizes, FleetStart, testing::Values(30, 100, 300),
                         testing::PrintToStringParamName());

/// Guards against a host that is contacted by all others when it restarts, and
/// needs memory for a connection to each of them.
TEST(PlannedRestart, IsConfirmedByFewHosts) {
  constexpr std::size_t Hosts = 300;
  constexpr std::size_t Restarted = 150;
  HostSimulation Simulation(Hosts, EngineCount);
  Simulation.publish(1);
  Simulation.run(seconds(25));
  Simulation.stop(Restarted);
  Simulation.run(seconds(2));
  Simulation.kill(Restarted);
  Simulation.takeTally();
  Simulation.restart(Restarted);
  Simulation.run(seconds(4));
  EXPECT_LE(Simulation.takeTally().Senders[Restarted].size(), Hosts / 5);
  EXPECT_EQ(Simulation.knownPeers(Restarted), Hosts - 1);
  for (std::size_t Host = 0; Host < Hosts; Host += 7)
    EXPECT_EQ(Simulation.knownPeers(Host), Hosts - 1) << Host;
}

/// Returns the bytes that a host sends and receives per second without load.
double idleBytes(std::size_t Hosts) {
  constexpr seconds Span(10);
  HostSimulation Simulation(Hosts, EngineCount);
  Simulation.publish(1);
  Simulation.run(seconds(25));
  Simulation.countBytes();
  Simulation.takeTally();
  Simulation.run(Span);
  std::uint64_t Sum = 0;
  for (const auto &[Host, Bytes] : Simulation.takeTally().BytesByHost)
    Sum += Bytes;
  return static_cast<double>(Sum) / static_cast<double>(Hosts) /
         inSeconds(Span);
}

TEST(IdleHosts, SendAsMuchAmongThreeHundredAsAmongHundred) {
  EXPECT_LE(idleBytes(300), idleBytes(100) * 1.1);
}

} // namespace
} // namespace banyanpick
