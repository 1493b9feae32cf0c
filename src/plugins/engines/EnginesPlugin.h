/// \file
/// The plug-in that tracks the engines behind a gateway.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/engines/EngineTable.h"

namespace banyanpick {

/// Follows the service registry, from the store, or from peers while the store
/// does not answer this host.
class EnginesPlugin : public Plugin,
                      public EngineDirectory,
                      public RegistryProgress {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Received, Time Now, Actions &Out) override;
  Time nextWake() const override;

  const RegisteredEngine *find(const UpstreamId &Id) const override {
    return this->Table.find(Id);
  }
  std::span<const RegisteredEngine *const>
  ofService(const ServiceId &Service) const override {
    return this->Table.ofService(Service);
  }
  void addressTaken(const UpstreamId &Id, Time Now, Actions &Out) override;
  void noteLeaving(const UpstreamId &Id, std::string_view From, Time Now,
                   Actions &Out) override;
  LogOffset knownTo() const override { return this->KnownTo; }
  std::uint64_t digest() const override { return this->Table.digest(); }
  std::uint64_t lossCount() const override { return this->Losses; }

  static std::vector<SettingDeclaration> settings();

private:
  void take(const EnginesRead &Read, Time Now, Actions &Out);
  void takeRelayed(const EnginesRelayed &Relayed, const HostId &From, Time Now,
                   Actions &Out);
  EnginesRelayed changesFrom(LogOffset From, Time Now) const;
  void noteStore(const StoreObserved &Status, Time Now, Actions &Out);
  void takePeerMessage(const PeerMessage &Message, Time Now, Actions &Out);
  void apply(std::span<const EngineChange> Changes, std::string_view From,
             Time Now, Actions &Out);
  void notifyChanged(const UpstreamId &Id, std::string_view From, Time Now,
                     Actions &Out);
  void notifyRemoved(const UpstreamId &Id, std::string_view From, Time Now,
                     Actions &Out);
  /// Called when an engine reports its incarnation.
  void noteIncarnation(const UpstreamId &Incarnation, Time Now, Actions &Out);
  void notifyRestarted(const UpstreamId &Ended, std::string_view From, Time Now,
                       Actions &Out);
  /// Returns whether a peer has changes that this host lacks. Most
  /// registrations are only renewed and need not be requested; then only the
  /// known offset advances.
  bool isAhead(LogOffset KnownTo, std::uint64_t Digest);
  /// Requests changes from the most advanced peer.
  void pollPeers(Time Now, Actions &Out);
  /// Requests changes unless an answer is still expected.
  void request(const HostId &From, Time Now, Actions &Out);
  /// Answers a request, unless too many long answers were sent.
  void answer(const HostId &From, const EnginesRequest &Requested, Time Now,
              Actions &Out);
  bool isStoreSuspect(Time Now) const;

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  const StoreFreshness *Store = nullptr;
  EngineTable Table;
  LogOffset KnownTo = 0;
  /// Removals before this offset were never received here.
  LogOffset ListedAt = 0;
  Duration PollInterval{};
  Duration SuspectFor{};
  Duration SuspectAge{};
  Time NextPoll{};
  Time NextRequest{};       ///< When a peer may be asked for changes again.
  Time NextLongAnswer{};    ///< When a long answer may be sent again.
  std::uint64_t Losses = 0; ///< Engines that ended or began to leave.
  Time LastFailed = Time{}; ///< When the store last did not answer.
  bool Reachable = false;
};

} // namespace banyanpick
