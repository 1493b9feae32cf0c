/// \file
/// The plug-in that tells callers which entry hosts to use.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/resolve/HostChoice.h"

namespace banyanpick {

/// Answers with ready hosts that stay, the nearest zone first; a team with
/// limits is kept to its own few hosts.
class ResolvePlugin : public Plugin {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;

  /// The settings with their defaults.
  static std::vector<SettingDeclaration> settings();

private:
  void answer(const ResolveRequest &Asked, Actions &Out) const;
  std::vector<CallerHost> readyHosts() const;
  std::vector<HostId> hostsOf(const TeamId &Team) const;

  Services *Offered = nullptr;
  const MembershipView *Members = nullptr;
  const CatalogueView *Declared = nullptr;
  const DrainView *Drain = nullptr;
  Identity Own;
  std::uint64_t Most = 0;
  Duration TimeToLive{};
};

} // namespace banyanpick
