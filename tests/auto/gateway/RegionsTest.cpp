/// \file
/// Tests that requests and callers are kept in their home regions.
#include "auto/gateway/GatewayBench.h"

#include "fakes/GatewayDeclarations.h"
#include "plugins/regions/RegionTable.h"

#include <gtest/gtest.h>
#include <set>

namespace banyanpick {
namespace {

const RegionId East("east");
const RegionId West("west");

/// Guards against a malformed entry that makes the whole table ineffective.
TEST(RegionTable, IgnoresAndReportsMalformedEntries) {
  const RegionTable Table(" z1=east, z2 = west,, bad, =x, z3= ");
  EXPECT_EQ(Table.regionOf(ZoneId("z1")), East);
  EXPECT_EQ(Table.regionOf(ZoneId("z2")), West);
  EXPECT_EQ(Table.malformed().size(), 3U);
  EXPECT_TRUE(Table.hasZones(West));
  EXPECT_FALSE(Table.hasZones(RegionId("north")));
}

/// Guards against a restriction where none is declared, and against only one of
/// two lists being binding.
TEST(RegionTable, BothListsAreBinding) {
  const RegionTable Table("z1=east,z2=west");
  const ZoneId Zone("z1");
  EXPECT_TRUE(Table.isHome(Zone, {}));
  EXPECT_TRUE(Table.isHome(Zone, {{East}, {East, West}}));
  EXPECT_FALSE(Table.isHome(Zone, {{East}, {West}}));
  EXPECT_FALSE(Table.isHome(Zone, {{}, {West}}));
  EXPECT_FALSE(Table.isHome(ZoneId("unknown"), {{East}, {}}));
  EXPECT_TRUE(RegionTable("").isHome(Zone, {{West}, {}}));
}

Settings settingsWithRegions(const char *Zones) {
  Settings Result = gatewaySettingsForTests();
  Result.set("regions", "zones", Zones);
  return Result;
}

/// The host and engine `e1` are in zone `z` of region `east`, the engine `e2`
/// is in zone `far` of region `west`.
class Regions : public testing::Test {
protected:
  explicit Regions(const char *Zones = "z=east,far=west")
      : Bench(settingsWithRegions(Zones)) {
    this->Bench.registerEngineIn("z", "e1", 1);
    this->Bench.registerEngineIn("far", "e2", 2);
  }

  void configure(const std::vector<RegionId> &OfRoutes,
                 const std::vector<RegionId> &OfTeam) {
    auto Declared =
        std::make_shared<GatewayConfiguration>(*gatewayDeclarations(1));
    for (RouteEntry &Route : Declared->Routes)
      Route.HomeRegions = OfRoutes;
    Declared->Keys.at("key").HomeRegions = OfTeam;
    this->Bench.send(GatewayEvent(
        ConfigurationRead{std::move(Declared), ConfigurationSource::Store}));
  }
  std::set<std::string> enginesOf(int Requests) {
    for (int Count = 0; Count < Requests; ++Count)
      this->Bench.arrive("/safe/1");
    std::set<std::string> Result;
    for (const DispatchRelay &Sent : this->Bench.all<DispatchRelay>())
      Result.insert(Sent.Engine.Value);
    return Result;
  }
  void addPeer(const char *Name, const char *Zone, std::uint16_t Port) {
    Heartbeat Beat;
    Beat.Ready = true;
    Beat.InForce = 1;
    Beat.Zone = ZoneId(Zone);
    HostListing Peer;
    Peer.Id = HostId(Name);
    Peer.Zone = ZoneId(Zone);
    Peer.Callers = {"127.0.0.1", Port};
    Peer.Peers = {"127.0.0.1", static_cast<std::uint16_t>(Port + 1)};
    Beat.KnownHosts = {Peer};
    this->Bench.receive(Name, Beat);
  }
  /// Returns the ports of the hosts that the answer names.
  std::set<int> resolve(const char *Name, const char *Region,
                        const char *Zone) {
    ResolveRequest Query;
    Query.Id = ResolveRequestId(1);
    Query.Name = Name;
    Query.Region = Region;
    Query.Zone = ZoneId(Zone);
    this->Bench.send(Event(Query));
    std::set<int> Result;
    for (const Address &Host : this->Bench.resolved())
      Result.insert(Host.Port);
    return Result;
  }

  GatewayBench Bench;
};

/// Guards against requests that run outside the home regions of their route.
TEST_F(Regions, RequestsStayInTheHomeRegionsOfTheRoute) {
  this->configure({West}, {});
  EXPECT_EQ(this->enginesOf(12), std::set<std::string>{"e2"});
}

/// Guards against requests that run outside the home regions of their team.
TEST_F(Regions, RequestsStayInTheHomeRegionsOfTheTeam) {
  this->configure({}, {East});
  EXPECT_EQ(this->enginesOf(12), std::set<std::string>{"e1"});
}

/// Guards against requests that wait until their callers leave although no
/// engine may run them.
TEST_F(Regions, RequestsWithoutAHomeAreRefusedAtOnce) {
  this->configure({West}, {East});
  EXPECT_TRUE(this->enginesOf(1).empty());
  const RefuseRelay Refused = this->Bench.last<RefuseRelay>();
  EXPECT_EQ(Refused.Kind, RefusalKind::NotRun);
  EXPECT_NE(Refused.Message.find("home region"), std::string::npos);
}

/// Guards against a typing error that nobody notices, and against one that
/// affects the routes with known regions.
TEST_F(Regions, ARegionWithoutZonesIsLoggedAndTheRestHolds) {
  this->configure({RegionId("north"), West}, {});
  EXPECT_EQ(this->Bench.logged(events::RegionUnusable), 1U);
  EXPECT_EQ(this->enginesOf(12), std::set<std::string>{"e2"});
}

/// Guards against a malformed part of the configuration that nobody notices.
TEST_F(Regions, ProblemsOfTheConfigurationAreLogged) {
  auto Declared =
      std::make_shared<GatewayConfiguration>(*gatewayDeclarations(1));
  Declared->Problems = {"HomeRegions is no list: 5"};
  this->Bench.send(GatewayEvent(
      ConfigurationRead{std::move(Declared), ConfigurationSource::Store}));
  EXPECT_EQ(this->Bench.logged(events::RegionUnusable), 1U);
  EXPECT_EQ(this->enginesOf(12).size(), 2U);
}

/// Guards against answers that name hosts outside the home regions and the
/// caller's region.
TEST_F(Regions, CallersAreSentToHostsInHomeRegionsOrTheirOwn) {
  this->configure({West}, {});
  this->addPeer("p1", "far", 31);
  this->addPeer("p2", "z", 41);
  this->Bench.advance(milliseconds(300));
  EXPECT_EQ(this->resolve("a.example", "", ""), std::set<int>{31});
  EXPECT_EQ(this->resolve("a.example:80", "west", ""), std::set<int>{31});
  EXPECT_EQ(this->resolve("a.example", "east", "").size(), 3U);
  EXPECT_EQ(this->resolve("a.example", "", "z").size(), 3U);
  EXPECT_EQ(this->resolve("other.example", "", "").size(), 3U);
}

/// Guards against callers without any host when the home regions have none.
TEST_F(Regions, CallersGetAnyReadyHostIfNoneIsInAHomeRegion) {
  this->configure({West}, {});
  this->addPeer("p2", "z", 41);
  this->Bench.advance(milliseconds(300));
  EXPECT_EQ(this->resolve("a.example", "", "").size(), 2U);
}

/// Guards against a restriction on deployments that declare no zones.
class NoRegions : public Regions {
protected:
  NoRegions() : Regions("") {}
};

TEST_F(NoRegions, NothingIsRestricted) {
  this->configure({West}, {});
  EXPECT_EQ(this->enginesOf(12).size(), 2U);
  EXPECT_EQ(this->Bench.logged(events::RegionUnusable), 1U);
}

} // namespace
} // namespace banyanpick
