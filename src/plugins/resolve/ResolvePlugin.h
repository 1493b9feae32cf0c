/// \file
/// The plug-in that answers which entry hosts callers should use.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/resolve/HostOrder.h"

namespace banyanpick {

/// Answers with hosts that are ready and not leaving, the nearest zone first. A
/// team with limits gets only the few hosts assigned to it.
class ResolvePlugin : public Plugin {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;

  /// The settings with their defaults.
  static std::vector<SettingDeclaration> settings();

private:
  void answer(const ResolveRequest &Query, Actions &Out) const;
  std::vector<CallerHost> readyHosts() const;
  std::vector<HostId> hostsOfTeam(const TeamId &Team) const;

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  const CatalogueView *CatalogueInForce = nullptr;
  const DrainView *Drain = nullptr;
  Identity Self;
  std::uint64_t MaxHosts = 0;
  Duration TimeToLive{};
};

} // namespace banyanpick
