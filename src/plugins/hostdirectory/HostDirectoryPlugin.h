/// \file
/// The plug-in that answers which hosts the callers of a gateway connect to.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/hostdirectory/NearbyHosts.h"

#include <map>
#include <span>

namespace banyanpick {

/// Answers with the hosts that accept requests now. Callers pick a random host
/// of an answer. A host with less processor is therefore listed in fewer
/// answers, so that requests use the same share of the processor on all hosts.
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
  };

  /// Returns the hosts for one answer.
  std::vector<Address> sampleHosts(std::span<const CallerAddress> All);
  /// Returns the hosts from which the answer to a caller of \p Zone is drawn.
  std::vector<CallerAddress> hostsFor(const ZoneId &Zone, Time Now,
                                      Actions &Out);
  void logShare(const ZoneId &Zone, const ZoneStanding &Standing,
                double NearShare, Time Now, Actions &Out);
  std::vector<CallerAddress> activeHosts() const;

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  const InForceView *InForce = nullptr;
  const ActiveHostsView *ActiveHosts = nullptr;
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
