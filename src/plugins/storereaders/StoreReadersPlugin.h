/// \file
/// The plug-in that decides which hosts read the store.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"

namespace banyanpick {

/// A few hosts follow the store and the others hear from them, so that the
/// calls to the store do not grow with the hosts. A host that hears of nobody
/// who read it lately reads it itself, so that no host's knowledge depends on
/// those few; a few deputies do so sooner, as a store that turns all readers
/// away may serve others, and changes have to be in force within seconds.
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
  /// Why this host reads the store now; empty when it need not.
  std::string_view readingReason(Time Now);
  /// This host's place in the order of choice.
  std::size_t ownRank() const;
  bool hearsPeers(Time Now) const;

  const MembershipView *Members = nullptr;
  std::size_t ReaderCount = 0;
  std::size_t DeputyCount = 0;
  Duration CheckInterval{};
  Duration DeputyAge{};
  Duration MaxAge{};
  Duration MaxSilence{};
  Time NextCheck{};
  Time ConfirmedAt{}; ///< The newest reading known here, by any host.
  bool IsReader = true;
  bool MembersChanged = true; ///< Since Place was decided.
  std::size_t Rank = 0;
};

} // namespace banyanpick
