/// \file
/// The plug-in that answers which hosts the callers of a gateway connect to.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/hostdirectory/NearbyHosts.h"

#include <map>
#include <span>

namespace banyanpick {

/// Answers with the hosts that accept requests now. Callers pick a random host
/// of an answer. A host with less processor is therefore listed in fewer
/// answers, so that requests use the same share of the processor on all hosts.
///
/// For a host name whose routes have home regions, the answer names only hosts
/// in these regions or in the caller's own region, as long as one is ready.
class HostDirectoryPlugin : public Plugin {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  struct CallerAddress {
    Address Callers;
    ProcessorShare Processor;
    ZoneId Zone;
    bool IsActive = false;
    bool CutOff = false; ///< Partitioned from the engines of a service.
  };

  /// Drops the hosts that are cut off, if there are others.
  static std::vector<CallerAddress>
  withoutCutOff(std::vector<CallerAddress> Hosts);

  /// Returns the hosts for one answer.
  std::vector<Address> sampleHosts(std::span<const CallerAddress> All);
  /// Returns the hosts from which the answer to a caller is drawn.
  std::vector<CallerAddress> hostsFor(const ResolveRequest &Query, Time Now,
                                      Actions &Out);
  void logShare(const ZoneId &Zone, const ZoneStanding &Standing,
                double NearShare, Time Now, Actions &Out);
  std::vector<CallerAddress> readyHosts(Time Now) const;
  /// Returns the hosts that may be named to the caller: the active ones in a
  /// permitted region or, if there are none, the other ready ones there. If no
  /// ready host is in a permitted region, all active hosts.
  std::vector<CallerAddress> permittedHosts(const ResolveRequest &Query,
                                            Time Now) const;
  /// Returns the home regions of each route of the host name that has some.
  std::vector<HomeRegions> homesOf(std::string_view Name) const;

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  const InForceView *InForce = nullptr;
  const ActiveHostsView *ActiveHosts = nullptr;
  const RouteView *Routing = nullptr;
  const EngineReachView *Reach = nullptr;
  const RegionView *Regions = nullptr;
  Identity Self;
  Random *Rng = nullptr;
  Duration TimeToLive{};
  std::size_t MaxHosts = 0;
  bool PrefersNearby = false;
  NearbyLimits Limits;
  ZoneDemand Demand;
  /// What was last logged about a zone.
  struct LoggedShare {
    bool AllStay = true;
    Time At{};
  };
  std::map<ZoneId, LoggedShare> Logged;
};

} // namespace banyanpick
