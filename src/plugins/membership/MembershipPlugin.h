/// \file
/// The plug-in that tracks the other entry hosts.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/membership/GossipQueue.h"
#include "plugins/membership/LocalHealth.h"
#include "plugins/membership/LogRateLimiter.h"
#include "plugins/membership/MemberSync.h"
#include "plugins/membership/PeerTable.h"
#include "plugins/membership/ProbeScheduler.h"
#include "plugins/membership/SeedContacts.h"

namespace banyanpick {

/// Merges the host list, the heartbeats of peers and the gossip updates that
/// they carry into one view of the members.
class MembershipPlugin : public Plugin,
                         public MembershipView,
                         public StatusContributor {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  const HostId &self() const override { return this->Self.Host; }
  Incarnation selfLife() const override { return this->Self.Life; }
  const ZoneId &selfZone() const override { return this->Self.Zone; }
  std::span<const Member> peers() const override {
    return this->Peers.members();
  }
  std::vector<HostId> livePeers() const override;
  bool isDead(const HostId &Host, Incarnation Life) const override;
  bool knowsHosts() const override { return this->ListRead; }
  bool hasLeft(const HostId &Host, Incarnation Life) const override;
  bool isSeed() const override {
    return !this->GossipDiscovery || this->Seeds.isSelfSeed();
  }

  void contribute(StatusReport &Report, Time Now) const override;

  /// The settings with their defaults.
  static std::vector<SettingDeclaration> settings();

private:
  void applyHostList(const HostListRead &List, Time Now, Actions &Out);
  /// Adds hosts discovered by gossip and reconnects if any is new.
  void learn(std::span<const HostListing> Listings, Time Now, Actions &Out);
  /// Adds the hosts that were not known, and returns them.
  std::vector<HostListing> addUnknown(std::span<const HostListing> Listings,
                                      Time Now);
  void connect(Actions &Out) const;
  HostListing ownListing() const;
  /// What the receiver of a heartbeat lacks.
  struct Introduction {
    bool WithOwn = false;    ///< It may not know this host.
    bool IsNewcomer = false; ///< It has started, and knows few others.
  };
  /// Returns the own listing and some of other hosts, as far as the receiver
  /// needs them.
  std::vector<HostListing> listingsFor(const Introduction &Introduced);
  /// Returns the positions of some live peers, a different sample each time.
  std::vector<std::size_t> samplePeers(std::size_t MaxCount);
  Heartbeat makeHeartbeat(Time Now);
  void contactSeeds(Time Now, Actions &Out);
  /// Returns the hosts that this one shares engines with. It probes them in
  /// every interval, because it needs the most current view of them.
  std::span<const HostId> partners() const;
  /// Returns the time between two heartbeats.
  Duration heartbeatInterval() const;
  /// Reads the host list if it is due and needed.
  void readHostList(Time Now, Actions &Out);
  /// Whether a peer is alive.
  bool hasLivePeer() const;
  /// Returns when a change of the configuration in force, of the evacuations or
  /// of the known registrations has to be sent to peers, ahead of the next
  /// heartbeat.
  Time updateDue() const;
  /// Whether the registrations changed so that peers should hear of it at once.
  bool haveEnginesChanged() const;
  void handlePeerMessage(const PeerMessage &Message, Time Now, Actions &Out);
  /// Returns the digest and number of the live members, with this host.
  MemberSummary knownMembers() const;
  /// Returns the sum of the digests in each of \p Buckets.
  std::vector<std::uint32_t> bucketDigests(std::size_t Buckets) const;
  /// Requests members from a peer whose digest differs.
  void requestMembers(const HostId &From, const Heartbeat &Beat, Time Now,
                      Actions &Out);
  void answerMembersRequest(const HostId &From, const MembersRequest &Request,
                            Time Now, Actions &Out);
  void takeMembers(const MembersRelayed &Relayed, Time Now, Actions &Out);
  void handleHeartbeat(const PeerMessage &Message, const Heartbeat &Beat,
                       Time Now, Actions &Out);
  void applyUpdate(const MemberUpdate &Update, Time Now);
  void refute(const MemberUpdate &Update, Time Now);
  void leave(Time Now, Actions &Out);
  /// Tells peers when this host loses or regains its path to engines.
  void updateCutOff(Time Now);
  void sendHeartbeats(Time Now, Actions &Out);
  void send(std::size_t To, std::optional<std::uint64_t> AcknowledgedSequence,
            const Introduction &Introduced, Time Now, Actions &Out);
  std::vector<MemberUpdate> updatesFor(std::size_t To);
  MemberUpdate ownUpdate() const;
  void announceChanges(Time Now, Actions &Out);

  Identity Self;
  Services *Registry = nullptr;
  const CatalogueView *CatalogueInForce = nullptr;
  const InForceView *InForce = nullptr;
  const RegistryProgress *EngineRegistry = nullptr;
  const ActiveHostsView *ActiveHosts = nullptr;
  const StoreFreshness *Store = nullptr;
  const EvacuationView *Evacuations = nullptr;
  const EngineReachView *EngineReach = nullptr;
  Random *Rng = nullptr;
  SeedContacts Seeds;
  std::uint64_t SentVersion = 0;
  bool SentReady = false;
  std::uint64_t SentEvacuations = 0;   ///< Change count of the sent records.
  std::uint64_t SentEnginesDigest = 0; ///< Digest of the registrations.
  std::uint64_t SentEngineLosses = 0;  ///< Count of engines lost until then.
  bool GossipDiscovery = false;        ///< Hosts are discovered by gossip.
  PeerTable Peers;
  ProbeScheduler Probes;
  GossipQueue Updates;
  MemberSync Sync;
  LocalHealth Health;
  LogRateLimiter LogLimiter;
  Duration ListInterval{};
  Duration HeartbeatInterval{};
  Duration PauseThreshold{}; ///< A heartbeat this late shows a paused process.
  std::size_t UpdatesPerHeartbeat = 0;
  Time NextListRead{};
  Duration ListRetryDelay{}; ///< Until the next read while no peer is known.
  Time NextHeartbeat{};
  Time NextSeedContact{};
  Time LastHeartbeat = Never;
  std::uint64_t OwnVersion = 0;
  bool Leaving = false;
  bool CutOff = false; ///< As last sent to peers.
  std::uint64_t Sequence = 0;
  bool ListReachable = true;
  bool ListRead = false; ///< The host list was read at least once.
  /// Heartbeats sent and answered in about the last two intervals. Both counts
  /// are halved in each interval.
  std::uint32_t ProbesSent = 0;
  std::uint32_t ProbesAnswered = 0;
};

} // namespace banyanpick
