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
///
/// Of hosts that start together, only the seeds read the store at once; the
/// others get its content from them and from each other. A host that hears
/// nobody reads it after a short time, and one that gets a request before it
/// has a configuration reads it immediately.
///
/// The readers and their deputies also keep the records of the host list.
class StoreReadersPlugin : public Plugin,
                           public StoreFreshness,
                           public MembershipObserver {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->NextCheck; }

  Time storeConfirmedAt() const override { return this->ConfirmedAt; }
  bool isListed() const override { return this->IsListed; }

  void memberChanged(const Member &, Time, Actions &) override {
    this->MembersChanged = true;
  }

  static std::vector<SettingDeclaration> settings();

private:
  void updateRole(Time Now, Actions &Out);
  /// Adds this host to the host list once it is a reader or a deputy.
  void updateListing(Time Now, Actions &Out);
  /// Whether the ranks can be relied on: a host that has just started knows too
  /// few others.
  bool isSettled(Time Now) const;
  /// Notes whether the number of known hosts still grows.
  void noteHosts(std::size_t Hosts, Time Now);
  /// Returns the reason why this host has to read the store now, or an empty
  /// text if it does not have to.
  std::string_view readingReason(Time Now);
  /// Returns how many hosts share the reading with this one.
  std::uint32_t readersByTurns(std::string_view Reason) const;
  /// Returns this host's rank in the selection order.
  std::size_t ownRank() const;
  /// Returns the age of the last known read after which this host reads the
  /// store itself.
  Duration ownMaxAge(Time Now) const;
  /// Whether the news of a reading reaches this host as soon as the bound on
  /// changes needs: the hosts are few, and it has known them for some time.
  bool hasQuickNews(Time Now) const;
  /// Returns the age of the last known read at which a deputy must begin to
  /// read, so that a change is in force everywhere within \p ChangeBound.
  Duration latestTakeover(Duration ChangeBound) const;
  bool hearsPeers(Time Now) const;
  /// Lets a host without a configuration read the store for its callers.
  void noteRequest(Time Now);

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  Identity Self;
  const RouteView *Routing = nullptr; ///< Null where there are no routes.
  std::size_t ReaderCount = 0;
  std::size_t DeputyCount = 0;
  Duration CheckInterval{};
  Duration DeputyAge{};
  Duration QuickDeputyAge{}; ///< Among few hosts.
  Duration MaxAge{};
  Duration MaxSilence{};
  Duration SettleTime{};
  Time StartedAt{};
  Time GrewAt{};               ///< When many more hosts became known.
  std::size_t StableHosts = 0; ///< Number of known hosts at that time.
  Time NextCheck{};
  Time ConfirmedAt{}; ///< The newest known read of the store by any host.
  bool IsReader = false;
  std::uint32_t Turns = 1; ///< As last ordered.
  bool IsListed = false;
  bool CallersWait = false;   ///< A request came before a configuration.
  bool MembersChanged = true; ///< Members changed since Rank was computed.
  std::size_t Rank = 0;
};

} // namespace banyanpick
