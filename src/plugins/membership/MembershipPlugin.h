/// \file
/// The plug-in that knows the other entry hosts.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/membership/LineBudget.h"
#include "plugins/membership/LocalHealth.h"
#include "plugins/membership/PeerTable.h"
#include "plugins/membership/ProbeRound.h"
#include "plugins/membership/RumourQueue.h"
#include "plugins/membership/SeedContacts.h"

namespace banyanpick {

/// Joins the host list with heartbeats and what they carry of others.
class MembershipPlugin : public Plugin,
                         public MembershipView,
                         public StatusContributor {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  const HostId &self() const override { return this->Own.Host; }
  Incarnation selfLife() const override { return this->Own.Life; }
  const ZoneId &selfZone() const override { return this->Own.Zone; }
  std::span<const Member> peers() const override {
    return this->Peers.members();
  }
  std::vector<HostId> livePeers() const override;
  bool isDead(const HostId &Host, Incarnation Life) const override;
  bool knowsHosts() const override { return this->ListRead; }
  bool hasLeft(const HostId &Host, Incarnation Life) const override;

  void contribute(StatusReport &Report, Time Now) const override;

  /// The settings with their defaults.
  static std::vector<SettingDeclaration> settings();

private:
  void takeList(const HostListRead &List, Time Now, Actions &Out);
  /// Takes in hosts that are only heard of; reconnects when any is new.
  void learn(std::span<const HostListing> KnownHosts, Time Now, Actions &Out);
  void connect(Actions &Out) const;
  HostListing ownListing() const;
  /// The own listing, and some of others; all of them for \p Newcomer.
  std::vector<HostListing> listingsFor(bool Newcomer);
  /// Positions of some peers that live, others each time.
  std::vector<std::size_t> someOthers(std::size_t Most);
  Heartbeat makeBeat(Time Now);
  void greetSeeds(Time Now, Actions &Out);
  /// Hosts that this one works with, which it must know best.
  std::span<const HostId> partners() const;
  /// Between two heartbeats.
  Duration beatPause() const;
  /// Until the host list is read again.
  Duration listPause();
  /// When peers should hear what is in force or known here, without waiting
  /// for the next heartbeat.
  Time newsDue() const;
  void takeHeartbeat(const PeerMessage &Message, const Heartbeat &Beat,
                     Time Now, Actions &Out);
  void takeRumour(const MemberUpdate &Rumour, Time Now);
  void refute(const MemberUpdate &Rumour, Time Now);
  void leave(Time Now, Actions &Out);
  void beat(Time Now, Actions &Out);
  void send(std::size_t To, std::optional<std::uint64_t> Answered,
            bool Newcomer, Time Now, Actions &Out);
  std::vector<MemberUpdate> rumoursFor(std::size_t To);
  MemberUpdate rumourOf(std::size_t At) const;
  MemberUpdate ownRumour() const;
  void announceChanges(Time Now, Actions &Out);

  Identity Own;
  Services *Offered = nullptr;
  const CatalogueView *Declared = nullptr;
  const InForceView *InForce = nullptr;
  const RegistryProgress *Registry = nullptr;
  const ActiveHostsView *Active = nullptr;
  const StoreFreshness *Store = nullptr;
  Random *Numbers = nullptr;
  SeedContacts Seeds;
  std::uint64_t ToldVersion = 0;
  bool ToldReady = false;
  std::uint64_t ToldEngines = 0; ///< Digest of the registrations.
  bool FirstListRead = true;     ///< The next reading is the first.
  bool Gossips = false;          ///< Hosts are found by hearing of them.
  PeerTable Peers;
  ProbeRound Probes;
  RumourQueue News;
  LocalHealth Health;
  LineBudget Lines;
  Duration ListInterval{};
  Duration BeatInterval{};
  Duration PauseLimit{}; ///< So much late, a heartbeat shows a pause.
  std::size_t RumoursEach = 0;
  Time NextListRead{};
  Time NextBeat{};
  Time LastBeat = Never;
  std::uint64_t OwnVersion = 0;
  bool Leaving = false;
  std::uint64_t Sequence = 0;
  bool ListReachable = true;
  bool ListRead = false; ///< At least once.
  /// Of the heartbeats sent in the last two intervals, how many were answered.
  std::uint32_t Asked = 0;
  std::uint32_t Answered = 0;
};

} // namespace banyanpick
