/// \file
/// Guards against hosts that open a connection for most requests, callers that
/// are sent to other zones without need, and a wave of demand or a lost zone
/// that overloads the remaining hosts.
#include "auto/manyhosts/SimulationLoad.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr std::size_t HostCount = 79;
constexpr std::size_t EngineCount = 45;
constexpr milliseconds RequestInterval(16); ///< 63 requests per second.

struct Figures {
  std::size_t Requests = 0;
  SimulatedConnections::Tally Connections;
  HostSimulation::Tally Tally;

  double openedShare() const {
    return static_cast<double>(this->Connections.Opened) /
           static_cast<double>(this->Requests);
  }
  double remoteShare() const {
    return static_cast<double>(this->Tally.SentToOtherZones) /
           static_cast<double>(this->Requests);
  }
  double inTimeShare() const {
    return static_cast<double>(this->Tally.InTime) /
           static_cast<double>(this->Requests);
  }
};

/// Runs calm load. Connections stay open for \p KeptFor.
Figures runCalm(std::vector<SettingChange> Changes, Duration KeptFor,
                Duration Interval = RequestInterval) {
  HostSimulation Simulation(HostCount, EngineCount, std::move(Changes));
  Simulation.connections().setKeptFor(KeptFor);
  Simulation.publish(1);
  Simulation.run(seconds(15));
  offerLoad(Simulation, seconds(5), Interval);
  Simulation.takeTally();
  Simulation.connections().takeTally();
  Figures Result;
  Result.Requests = offerLoad(Simulation, seconds(20), Interval);
  Simulation.run(seconds(1));
  Result.Tally = Simulation.takeTally();
  Result.Connections = Simulation.connections().takeTally();
  return Result;
}

/// Prints the figures of docs/design/uneven-demand.md.
void print(const char *Name, const Figures &Figures) {
  fmt::print("{:<40} opened {:.2f} pairs {:>4} other zone {:.2f} late {} "
             "lost {} engines {}\n",
             Name, Figures.openedShare(), Figures.Connections.Pairs,
             Figures.remoteShare(), Figures.Tally.Late,
             lostRequests(Figures.Tally), Figures.Tally.Sent.size());
}

const SettingChange ConnectionCost{"engine_load", "new_connection_ms", "25"};
const SettingChange OwnZoneFront{"placement", "zone_front", "true"};

TEST(UnevenDemand, ConnectionsAreReusedWhereTheyHaveACost) {
  const Figures Before = runCalm({}, seconds(3));
  const Figures After = runCalm({ConnectionCost}, seconds(3));
  print("as before", Before);
  print("new_connection_ms 25", After);
  EXPECT_LT(After.openedShare(), Before.openedShare() * 0.7);
  EXPECT_GE(After.inTimeShare(), Before.inTimeShare() - 0.01);
}

TEST(UnevenDemand, ShortPromptsStayInTheirZoneWhereItHasEnoughEngines) {
  const Figures Before = runCalm({}, seconds(3));
  const Figures After = runCalm({OwnZoneFront}, seconds(3));
  const Figures Both = runCalm({OwnZoneFront, ConnectionCost}, seconds(3));
  print("zone_front", After);
  print("zone_front, new_connection_ms 25", Both);
  EXPECT_LT(After.remoteShare(), 0.1);
  EXPECT_GT(Before.remoteShare(), 0.5);
  EXPECT_GE(After.inTimeShare(), Before.inTimeShare() - 0.01);
  EXPECT_GE(Both.inTimeShare(), Before.inTimeShare() - 0.01);
}

TEST(UnevenDemand, ABurstOfShortPromptsIsServedAsBefore) {
  const Figures Before = runCalm({}, seconds(3), milliseconds(6));
  const Figures After =
      runCalm({OwnZoneFront, ConnectionCost}, seconds(3), milliseconds(6));
  print("2.7 times the load, as before", Before);
  print("2.7 times the load, both", After);
  EXPECT_GE(After.inTimeShare(), Before.inTimeShare() - 0.01);
}

/// Guards against a rise in demand that other deciding hosts learn of too late.
TEST(UnevenDemand, ARiseIsKnownToAllDecidingHostsWithinASecond) {
  HostSimulation Simulation(HostCount, EngineCount);
  Simulation.publish(1);
  Simulation.run(seconds(15));
  offerLoad(Simulation, seconds(5), RequestInterval);
  Simulation.takeTally();
  offerLoad(Simulation, seconds(10), milliseconds(6));
  const HostSimulation::Tally Tally = Simulation.takeTally();
  fmt::print("active hosts {} longest delay of a report {} us\n",
             Simulation.resolvedHosts(3).size(), Tally.MaxReportDelay.count());
  EXPECT_GT(Tally.Messages.at("work"), 0U);
  EXPECT_LT(Tally.MaxReportDelay, seconds(1));
}

const SettingChange Nearby{"host_directory", "nearby", "true"};

/// Returns how often each zone is named to callers of zone z0, by \p Asked.
std::map<std::size_t, std::size_t> zonesNamed(HostSimulation &Simulation,
                                              std::size_t Asked) {
  std::map<std::size_t, std::size_t> Result;
  for (const std::size_t Host : Simulation.resolvedHosts(Asked, "z0"))
    ++Result[Simulation.zoneOf(Host)];
  return Result;
}

TEST(UnevenDemand, CallersAreSentToHostsOfTheirZone) {
  HostSimulation Simulation(HostCount, EngineCount, {Nearby});
  Simulation.publish(1);
  Simulation.run(seconds(15));
  std::size_t OnlyNear = 0;
  constexpr std::size_t Rounds = 40;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    for (const char *Zone : {"z1", "z2", "z3", "z4"})
      Simulation.resolvedHosts(3, Zone);
    const auto Named = zonesNamed(Simulation, 3);
    OnlyNear += Named.size() == 1 && Named.contains(0) ? 1 : 0;
    Simulation.run(milliseconds(50));
  }
  EXPECT_GT(OnlyNear, Rounds * 3 / 4);
  EXPECT_GT(Simulation.resolvedHosts(3, "unknown").size(), 8U);
}

TEST(UnevenDemand, CallersOfALostZoneGetOtherHostsOnceItsHostsAreSilent) {
  HostSimulation Simulation(HostCount, EngineCount, {Nearby});
  Simulation.publish(1);
  Simulation.run(seconds(15));
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (Simulation.zoneOf(Host) == 0)
      Simulation.kill(Host);
  Simulation.run(milliseconds(1200));
  EXPECT_GE(zonesNamed(Simulation, 3).size(), 3U)
      << "other hosts are named before all of the zone are suspect";
  Simulation.run(milliseconds(1800));
  const auto Named = zonesNamed(Simulation, 3);
  EXPECT_EQ(Named.count(0), 0U);
  EXPECT_GE(Named.size(), 3U);
}

TEST(UnevenDemand, AWaveInOneZoneSpreadsOverAllHosts) {
  HostSimulation Simulation(HostCount, EngineCount, {Nearby});
  Simulation.publish(1);
  Simulation.run(seconds(15));
  // All callers that ask this host are of one zone, with a fifth of the hosts.
  std::size_t Spread = 0;
  constexpr std::size_t Asked = 100;
  for (std::size_t Each = 0; Each < Asked; ++Each) {
    Simulation.run(milliseconds(20));
    Spread += zonesNamed(Simulation, 3).size() > 1 ? 1 : 0;
  }
  EXPECT_GT(Spread, Asked / 2);
}

/// Guards against answers that name a host that ended: three seconds after the
/// stability window, no answer may.
TEST(HostDirectory, DoesNotNameAHostThatEnded) {
  HostSimulation Simulation(HostCount, EngineCount);
  Simulation.publish(1);
  Simulation.run(seconds(15));
  const std::vector<std::size_t> Named = Simulation.resolvedHosts(3);
  ASSERT_FALSE(Named.empty());
  const std::size_t Ended = Named.front() == 3 ? Named.back() : Named.front();
  Simulation.kill(Ended);
  Simulation.run(seconds(3));
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    if (!Simulation.isRunning(Host))
      continue;
    const auto Answer = Simulation.resolvedHosts(Host);
    EXPECT_EQ(std::ranges::count(Answer, Ended), 0) << "host " << Host;
  }
}

} // namespace
} // namespace banyanpick
