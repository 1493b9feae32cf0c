/// \file
/// The plug-in that decides whether this host reads the store.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"

namespace banyanpick {

/// A few hosts read the store and relay its content to the others, so that the
/// calls to the store don't grow with the number of hosts. A host that knows of
/// no recent read by any host reads the store itself, so that no host depends
/// on these few readers. Some deputies do so sooner, because a store that
/// refuses all readers may still serve others, and changes have to be in force
/// within seconds. A host that lacks a configuration that its peers have in
/// force also reads the store, so that it does not depend on their relaying it.
class StoreReadersPlugin : public Plugin,
                           public StoreFreshness,
                           public MembershipObserver {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->NextCheck; }

  Time storeConfirmedAt() const override { return this->ConfirmedAt; }

  void memberChanged(const Member &, Time, Actions &) override {
    this->MembersChanged = true;
  }

  static std::vector<SettingDeclaration> settings();

private:
  void updateRole(Time Now, Actions &Out);
  /// Returns the reason why this host has to read the store now, or an empty
  /// text if it does not have to.
  std::string_view readingReason(Time Now);
  /// Returns this host's rank in the selection order.
  std::size_t ownRank() const;
  bool hearsPeers(Time Now) const;

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  const RouteView *Routing = nullptr; ///< Null where there are no routes.
  std::size_t ReaderCount = 0;
  std::size_t DeputyCount = 0;
  Duration CheckInterval{};
  Duration DeputyAge{};
  Duration MaxAge{};
  Duration MaxSilence{};
  Time NextCheck{};
  Time ConfirmedAt{}; ///< The newest known read of the store by any host.
  bool IsReader = true;
  bool MembersChanged = true; ///< Members changed since Rank was computed.
  std::size_t Rank = 0;
};

} // namespace banyanpick
