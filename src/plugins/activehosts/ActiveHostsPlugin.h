/// \file
/// The plug-in that tracks which hosts serve callers.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/activehosts/ActiveHosts.h"
#include "plugins/activehosts/EngineParts.h"

#include <map>

namespace banyanpick {

/// Selects the active hosts again when hosts join, leave or become ready, or
/// when the engines change. The other hosts are on standby: they follow the
/// configuration and the registry, serve callers that connect to them, and
/// replace active hosts that fail.
class ActiveHostsPlugin : public Plugin,
                          public ActiveHostsView,
                          public MembershipObserver,
                          public EngineObserver {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  bool isActive() const override { return this->SelfActive; }
  std::span<const HostId> activeHosts() const override { return this->Active; }
  std::span<const HostId> sharers() const override { return this->Sharers; }
  std::span<const HostId> partners() const override { return this->Partners; }
  EngineShare shareOf(const ServiceId &Service) const override;

  void memberChanged(const Member &, Time, Actions &) override {
    this->Stale = true;
  }
  void engineChanged(const RegisteredEngine &, Time, Actions &) override {
    this->Stale = true;
  }
  void engineRemoved(const UpstreamId &, Time, Actions &) override {
    this->Stale = true;
  }

  static std::vector<SettingDeclaration> settings();

private:
  void choose(Time Now, Actions &Out);
  std::vector<ActiveCandidate> candidates() const;
  /// Totals over the registered engines.
  struct RegisteredEngines {
    double Slots = 0; ///< Requests that all engines can run at once.
    std::map<ServiceId, std::size_t> Counts;
  };
  RegisteredEngines registeredEngines() const;
  /// Divides the engines among the active hosts.
  void divideEngines(std::span<const ActiveCandidate> All, std::uint32_t Count);

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  const RouteView *Routing = nullptr;
  const EngineDirectory *Directory = nullptr;
  const InForceView *InForce = nullptr;
  Identity Self;
  std::size_t MinHosts = 0;
  double SlotsPerCore = 1;
  Time NextChoice{};
  bool Stale = true;
  bool WasReady = false;
  bool SelfActive = false;
  std::vector<HostId> Active;
  std::vector<HostId> Sharers;
  std::vector<HostId> Partners;
  std::map<ServiceId, std::size_t> EngineCounts;
  std::uint32_t OwnPart = 0;
  std::vector<bool> PartHasHosts{true}; ///< One entry for each part.
};

} // namespace banyanpick
