/// \file
/// The plug-in that knows the upstreams behind a gateway.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/engines/EngineTable.h"

namespace banyanpick {

/// Follows the service registry: from the store, or from peers when the store
/// does not answer this host.
class EnginesPlugin : public Plugin,
                      public EngineDirectory,
                      public RegistryProgress {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
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

  static std::vector<SettingDeclaration> settings();

private:
  void take(const EnginesRead &Read, Time Now, Actions &Out);
  void takeRelayed(const EnginesRelayed &Relayed, const HostId &From, Time Now,
                   Actions &Out);
  EnginesRelayed changesFrom(LogOffset From) const;
  void note(const StoreObserved &Seen, Time Now, Actions &Out);
  void takePeerMessage(const PeerMessage &Message, Time Now, Actions &Out);
  void apply(std::span<const EngineChange> Changes, std::string_view From,
             Time Now, Actions &Out);
  void tell(const UpstreamId &Id, std::string_view From, Time Now,
            Actions &Out);
  void tellGone(const UpstreamId &Id, std::string_view From, Time Now,
                Actions &Out);
  /// The upstream says which life it is in.
  void noteIncarnation(const UpstreamId &Life, Time Now, Actions &Out);
  void tellReborn(const UpstreamId &Ended, std::string_view From, Time Now,
                  Actions &Out);
  /// The peer knows what changed up to the offset. Whether that is news here;
  /// most registrations are only renewed, and need not be asked for.
  bool isFurther(LogOffset KnownTo, std::uint64_t Digest);
  /// Asks a peer that is further.
  void look(Time Now, Actions &Out);
  bool isDoubtful(Time Now) const;

  Services *Offered = nullptr;
  const MembershipView *Members = nullptr;
  const StoreFreshness *Store = nullptr;
  EngineTable Table;
  LogOffset KnownTo = 0;
  LogOffset ListedAt = 0; ///< Removals before it were never told here.
  Duration LookInterval{};
  Duration DoubtFor{};
  Duration DoubtAge{};
  Time NextLook{};
  Time AskedAt{};           ///< A peer that is further.
  Time LastFailed = Time{}; ///< The store did not answer.
  bool Reachable = false;
};

} // namespace banyanpick
