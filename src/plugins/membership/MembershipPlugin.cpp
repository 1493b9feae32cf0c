#include "plugins/membership/MembershipPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace banyanpick {

namespace {

/// Heartbeats that carry an update, for each doubling of the number of hosts.
constexpr std::uint32_t SendsPerDoubling = 3;

/// Listings of other hosts in each heartbeat with discovery by gossip. This
/// makes a new host known to all of sixteen hosts within a few intervals.
constexpr std::size_t ListingsPerHeartbeat = 2;

/// Minimum time between two heartbeats that are sent only for changes in the
/// registry or new hosts. A dozen upstreams that restart together are reported
/// in one heartbeat.
constexpr milliseconds MinUpdateInterval(80);

/// Listings sent to a new host at once. It requests the others from the hosts
/// of these listings, so that hundreds of new hosts do not depend on their
/// seeds.
constexpr std::size_t ListingsForNewcomer = 16;

/// Standby hosts serve no callers, so their failure may be detected later, at a
/// lower cost. Updates are still sent at once.
constexpr int StandbyIntervalFactor = 2;

/// Interval at which seeds are contacted that do not answer, while other hosts
/// are known.
constexpr Duration SeedRetryInterval = seconds(4);

/// Seeds answer within this time, also where hundreds of hosts start together.
/// A host that knows nobody after it reads the host list, at first this often.
constexpr seconds SeedAnswerTime(1);

std::string_view name(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Leaving:
    return "leaving";
  }
  return "unknown";
}

} // namespace

void MembershipPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view Section = "membership";
  this->Self = Context.self();
  this->Registry = &Context.services();
  this->ListInterval = Values.span(Section, "host_list_interval");
  this->HeartbeatInterval = Values.span(Section, "heartbeat_interval");
  this->UpdatesPerHeartbeat = Values.whole(Section, "rumours_per_heartbeat");
  const PeerTimeouts Timeouts{Values.span(Section, "suspect_after"),
                              Values.span(Section, "dead_after"),
                              Values.span(Section, "forget_after")};
  // After a gap of half the suspicion timeout, silence of peers may be caused
  // by a pause of this process.
  this->PauseThreshold = Timeouts.SuspectAfter / 2;
  this->Peers = PeerTable(this->Self, Timeouts);
  this->Probes = ProbeScheduler({Values.whole(Section, "full_mesh_hosts"),
                                 Values.whole(Section, "fanout")},
                                Context.random());
  this->GossipDiscovery = Values.text(Section, "discovery") == "gossip";
  this->Seeds = SeedContacts(Values.text(Section, "seeds"), this->Self.Peers);
  this->Rng = &Context.random();
  this->Sync = MemberSync(Context.random());
  Context.services().provide<MembershipView>(*this);
  Context.services().list<StatusContributor>().add(*this);
}

void MembershipPlugin::start(Time Now, Actions &Out) {
  this->CatalogueInForce = this->Registry->find<CatalogueView>();
  this->InForce = this->Registry->find<InForceView>();
  this->EngineRegistry = this->Registry->find<RegistryProgress>();
  this->ActiveHosts = this->Registry->find<ActiveHostsView>();
  this->Store = this->Registry->find<StoreFreshness>();
  this->Evacuations = this->Registry->find<EvacuationView>();
  this->EngineReach = this->Registry->find<EngineReachView>();
  if (!this->GossipDiscovery)
    return;
  this->connect(Out);
  this->ListRetryDelay = SeedAnswerTime;
  this->NextListRead = Now + SeedAnswerTime;
}

void MembershipPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const HostListRead &List) { this->applyHostList(List, Now, Out); },
      [&](const HostListReadFailed &) {
        if (this->ListReachable)
          Out.log(logEvent(events::HostListUnreachable).build());
        this->ListReachable = false;
      },
      [&](const PeerMessageReceived &Received) {
        this->handlePeerMessage(Received.Message, Now, Out);
      },
      [&](const StopRequest &) { this->leave(Now, Out); },
      [&](const GatewayEvent &Gateway) {
        if (const auto *Reload = std::get_if<SettingsReloaded>(&Gateway))
          this->Seeds = SeedContacts(
              Reload->Values->text("membership", "seeds"), this->Self.Peers);
      },
      [](const auto &) {});
  if (Now >= this->NextListRead)
    this->readHostList(Now, Out);
  this->updateCutOff(Now);
  if (Now >= std::min(this->NextHeartbeat, this->updateDue()))
    this->sendHeartbeats(Now, Out);
  this->announceChanges(Now, Out);
}

Time MembershipPlugin::updateDue() const {
  const bool ConfigurationChanged =
      this->InForce && (this->InForce->version() != this->SentVersion ||
                        this->InForce->isReady() != this->SentReady);
  const bool EvacuationsChanged =
      this->Evacuations &&
      this->Evacuations->changeCount() != this->SentEvacuations;
  if (ConfigurationChanged || EvacuationsChanged)
    return Time{};
  return this->haveEnginesChanged() && this->LastHeartbeat != Never
             ? this->LastHeartbeat + MinUpdateInterval
             : Never;
}

bool MembershipPlugin::haveEnginesChanged() const {
  if (!this->EngineRegistry)
    return false;
  // Among many hosts, new engines wait for the next heartbeat. Hundreds of them
  // register when a deployment starts.
  return this->Probes.isSampling(this->Peers)
             ? this->EngineRegistry->lossCount() != this->SentEngineLosses
             : this->EngineRegistry->digest() != this->SentEnginesDigest;
}

void MembershipPlugin::readHostList(Time Now, Actions &Out) {
  if (!this->GossipDiscovery) {
    this->NextListRead = Now + this->ListInterval;
    Out.add(ReadHostList{});
    return;
  }
  const bool IsAlone = !this->hasLivePeer();
  this->NextListRead =
      Now + (IsAlone ? this->ListRetryDelay : this->ListInterval);
  // Hosts that found each other through different seeds meet when the few
  // listed ones of each group read the list.
  if (!IsAlone && !(this->Store && this->Store->isListed()))
    return;
  if (IsAlone)
    this->ListRetryDelay =
        std::min(this->ListRetryDelay * 2, this->ListInterval);
  Out.add(ReadHostList{});
}

bool MembershipPlugin::hasLivePeer() const {
  return std::ranges::any_of(this->Peers.members(), [](const Member &Peer) {
    return Peer.State == MemberState::Alive && Peer.Life != Incarnation();
  });
}

Time MembershipPlugin::nextWake() const {
  return std::min({this->updateDue(), this->NextListRead, this->NextHeartbeat});
}

void MembershipPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  const auto Members = this->Peers.members();
  const bool Ordered = std::ranges::is_sorted(
      Members, {}, [](const Member &Peer) { return Peer.Listing.Id; });
  Monitor.require(Ordered, "peers are ordered by name");
  for (const Member &Peer : Members)
    Monitor.require(Peer.Life == Incarnation() ||
                        Peer.State == MemberState::Dead ||
                        !this->isDead(Peer.Listing.Id, Peer.Life),
                    "no life is alive and over at once");
}

std::vector<HostId> MembershipPlugin::livePeers() const {
  std::vector<HostId> Result;
  for (const Member &Peer : this->Peers.members()) {
    const bool Stays =
        Peer.State == MemberState::Alive || Peer.State == MemberState::Suspect;
    if (Stays && Peer.Life != Incarnation())
      Result.push_back(Peer.Listing.Id);
  }
  return Result;
}

bool MembershipPlugin::isDead(const HostId &Host, Incarnation Life) const {
  return this->Peers.hasEnded(Host, Life);
}

bool MembershipPlugin::hasLeft(const HostId &Host, Incarnation Life) const {
  return this->Peers.hasLeft(Host, Life);
}

void MembershipPlugin::contribute(StatusReport &Report, Time Now) const {
  Report.Hosts.push_back(
      {this->Self.Host, this->Self.Zone,
       this->Leaving ? MemberState::Leaving : MemberState::Alive,
       this->CatalogueInForce && this->CatalogueInForce->isReady(),
       this->CatalogueInForce ? this->CatalogueInForce->catalogue().offset()
                              : 0,
       Duration(0)});
  for (const Member &Peer : this->Peers.members())
    Report.Hosts.push_back({Peer.Listing.Id, Peer.Listing.Zone, Peer.State,
                            Peer.Ready, Peer.InForce, Now - Peer.LastHeard});
}

void MembershipPlugin::applyHostList(const HostListRead &List, Time Now,
                                     Actions &Out) {
  if (!this->ListReachable)
    Out.log(logEvent(events::HostListReachable).build());
  this->ListReachable = true;
  this->ListRead = true;
  if (this->GossipDiscovery) {
    this->learn(List.Hosts, Now, Out);
    return;
  }
  if (!this->Peers.applyHostList(List.Hosts, Now))
    return;
  this->connect(Out);
  this->NextHeartbeat = Now;
}

void MembershipPlugin::handlePeerMessage(const PeerMessage &Message, Time Now,
                                         Actions &Out) {
  match(
      Message.Body,
      [&](const Heartbeat &Beat) {
        this->handleHeartbeat(Message, Beat, Now, Out);
      },
      [&](const MembersRequest &Request) {
        this->answerMembersRequest(Message.From, Request, Now, Out);
      },
      [&](const MembersRelayed &Relayed) {
        this->takeMembers(Relayed, Now, Out);
      },
      [](const auto &) {});
}

std::vector<HostListing>
MembershipPlugin::addUnknown(std::span<const HostListing> Listings, Time Now) {
  std::vector<HostListing> Added;
  for (const HostListing &Listing : Listings)
    if (!this->Peers.position(Listing.Id) && this->Peers.learn(Listing, Now))
      Added.push_back(Listing);
  return Added;
}

void MembershipPlugin::learn(std::span<const HostListing> Listings, Time Now,
                             Actions &Out) {
  std::vector<HostListing> Added = this->addUnknown(Listings, Now);
  if (Added.empty())
    return;
  Out.add(ConnectPeers{std::move(Added), true});
  // Every answer may list more hosts. One heartbeat for each of them would
  // multiply the traffic when hundreds of hosts start together.
  const Time Soon = this->LastHeartbeat == Never
                        ? Now
                        : this->LastHeartbeat + MinUpdateInterval;
  this->NextHeartbeat = std::min(this->NextHeartbeat, std::max(Now, Soon));
}

void MembershipPlugin::connect(Actions &Out) const {
  ConnectPeers Connections;
  Connections.Peers.reserve(this->Peers.members().size());
  for (const Member &Peer : this->Peers.members())
    Connections.Peers.push_back(Peer.Listing);
  for (HostListing &Listing : this->Seeds.unresolved(this->Peers.members()))
    Connections.Peers.push_back(std::move(Listing));
  Out.add(std::move(Connections));
}

HostListing MembershipPlugin::ownListing() const {
  return {this->Self.Host,  this->Self.Zone, this->Self.Callers,
          this->Self.Peers, false,           this->Self.Processor};
}

std::vector<HostListing>
MembershipPlugin::listingsFor(const Introduction &Introduced) {
  std::vector<HostListing> Result;
  // Among many hosts, only those that do not know this host need a listing; the
  // digests show who lacks others.
  const bool IsKnown = this->Probes.isSampling(this->Peers) &&
                       !Introduced.WithOwn && !Introduced.IsNewcomer;
  if (!this->GossipDiscovery || IsKnown)
    return Result;
  Result.push_back(this->ownListing());
  std::size_t MaxOthers =
      this->Probes.isSampling(this->Peers) ? 0 : ListingsPerHeartbeat;
  if (Introduced.IsNewcomer)
    MaxOthers = ListingsForNewcomer;
  for (const std::size_t Index : this->samplePeers(MaxOthers))
    Result.push_back(this->Peers.member(Index).Listing);
  return Result;
}

std::vector<std::size_t> MembershipPlugin::samplePeers(std::size_t MaxCount) {
  std::vector<std::size_t> Result;
  const std::span<const Member> All = this->Peers.members();
  if (All.empty())
    return Result;
  // Takes consecutive peers from a random position on. This runs for each
  // heartbeat, so its cost must not grow with the number of hosts.
  const std::size_t From = this->Rng->below(All.size());
  for (std::size_t Count = 0; Count < std::min(All.size(), MaxCount); ++Count) {
    const std::size_t Index = (From + Count) % All.size();
    if (All[Index].State != MemberState::Dead &&
        All[Index].Life != Incarnation())
      Result.push_back(Index);
  }
  return Result;
}

void MembershipPlugin::handleHeartbeat(const PeerMessage &Message,
                                       const Heartbeat &Beat, Time Now,
                                       Actions &Out) {
  if (Message.From == this->Self.Host) {
    if (Message.FromLife != this->Self.Life)
      Out.log(logEvent(events::HostNameInUse)
                  .with("host", this->Self.Host.Value)
                  .build());
    return;
  }
  bool Newcomer = false;
  if (this->GossipDiscovery && !Beat.KnownHosts.empty()) {
    const HostListing &Sender = Beat.KnownHosts.front();
    if (Sender.Id == Message.From && this->Peers.learn(Sender, Now)) {
      Newcomer = true;
      Out.add(ConnectPeers{{Sender}, true});
    }
    this->learn(std::span(Beat.KnownHosts).subspan(1), Now, Out);
  }
  const auto From = this->Peers.position(Message.From);
  if (!From)
    return; // Not in the host list yet; the sender will probe again.
  Newcomer = Newcomer || this->Peers.member(*From).Life != Message.FromLife;
  // Among hosts that start together, most know each other only later.
  Newcomer = Newcomer && Beat.MembersCount < this->knownMembers().Count;
  this->Peers.handleHeartbeat(*From, Message.FromLife, Beat, Now);
  for (const MemberUpdate &Update : Beat.Updates) {
    this->Updates.noteHeard(Update);
    this->applyUpdate(Update, Now);
  }
  this->requestMembers(Message.From, Beat, Now, Out);
  if (!Beat.Acknowledges) {
    const bool IsIntroduced = !Beat.KnownHosts.empty();
    this->send(*From, Beat.Sequence, {IsIntroduced, Newcomer}, Now, Out);
    return;
  }
  ++this->ProbesAnswered;
  if (this->Probes.isSampling(this->Peers) &&
      this->ProbesAnswered * 2 > this->ProbesSent)
    this->Peers.noteSample(Now);
}

void MembershipPlugin::applyUpdate(const MemberUpdate &Update, Time Now) {
  if (Update.Host == this->Self.Host)
    this->refute(Update, Now);
  else if (const auto About = this->Peers.position(Update.Host))
    this->Peers.applyUpdate(*About, Update, this->GossipDiscovery, Now);
}

void MembershipPlugin::refute(const MemberUpdate &Update, Time Now) {
  const bool Accused =
      Update.Life == this->Self.Life &&
      incarnationState(Update).Status != IncarnationState::Liveness::Alive &&
      Update.Version >= this->OwnVersion;
  if (!Accused)
    return;
  this->Health.noteFalseSuspicion(Now);
  this->OwnVersion = Update.Version + 1;
  this->Updates.add(this->ownUpdate());
}

void MembershipPlugin::updateCutOff(Time Now) {
  if (!this->EngineReach || this->EngineReach->isCutOff(Now) == this->CutOff)
    return;
  this->CutOff = !this->CutOff;
  ++this->OwnVersion;
  this->Updates.add(this->ownUpdate());
  this->NextHeartbeat = Now;
}

void MembershipPlugin::leave(Time Now, Actions &Out) {
  if (this->Leaving)
    return;
  this->Leaving = true;
  ++this->OwnVersion;
  this->Updates.add(this->ownUpdate());
  this->sendHeartbeats(Now, Out);
}

void MembershipPlugin::sendHeartbeats(Time Now, Actions &Out) {
  const bool WasPaused = this->LastHeartbeat != Never &&
                         Now > this->LastHeartbeat + this->heartbeatInterval() +
                                   this->PauseThreshold;
  if (WasPaused) {
    Out.log(logEvent(events::ProcessWasPaused)
                .with("for_us", (Now - this->LastHeartbeat).count())
                .build());
    this->Peers.restartTimeouts(Now);
  }
  const Duration Lateness =
      this->NextHeartbeat == Time{} ? Duration(0) : Now - this->NextHeartbeat;
  this->Health.noteHeartbeat(std::max(Lateness, Duration(0)),
                             this->HeartbeatInterval, Now);
  this->LastHeartbeat = Now;
  this->NextHeartbeat = Now + this->heartbeatInterval();
  if (this->InForce) {
    // With many hosts, most of them learn of readiness only by gossip.
    if (this->InForce->isReady() && !this->SentReady)
      this->Updates.add(this->ownUpdate());
    this->SentVersion = this->InForce->version();
    this->SentReady = this->InForce->isReady();
  }
  if (this->Evacuations)
    this->SentEvacuations = this->Evacuations->changeCount();
  if (this->EngineRegistry) {
    this->SentEnginesDigest = this->EngineRegistry->digest();
    this->SentEngineLosses = this->EngineRegistry->lossCount();
  }
  this->Peers.detectFailures(this->Health.timeoutMultiplier(), Now);
  this->ProbesSent /= 2;
  this->ProbesAnswered /= 2;
  for (const std::size_t To :
       this->Probes.next(this->Peers, this->Self.Host, this->partners())) {
    const bool KnowsSelf = this->Peers.record(To).KnowsSelf;
    this->send(To, std::nullopt, {!KnowsSelf, false}, Now, Out);
    ++this->ProbesSent;
  }
  if (this->GossipDiscovery)
    this->contactSeeds(Now, Out);
}

Duration MembershipPlugin::heartbeatInterval() const {
  const bool IsStandby = this->ActiveHosts && !this->ActiveHosts->isActive() &&
                         this->Probes.isSampling(this->Peers);
  return IsStandby ? this->HeartbeatInterval * StandbyIntervalFactor
                   : this->HeartbeatInterval;
}

std::span<const HostId> MembershipPlugin::partners() const {
  return this->ActiveHosts ? this->ActiveHosts->partners()
                           : std::span<const HostId>();
}

void MembershipPlugin::contactSeeds(Time Now, Actions &Out) {
  if (Now < this->NextSeedContact)
    return;
  // A seed that is down may never return. Once others are known, it is tried
  // seldom, to join hosts that know only this seed.
  this->NextSeedContact =
      Now + (this->hasLivePeer() ? SeedRetryInterval : this->HeartbeatInterval);
  const std::vector<HostListing> Unresolved =
      this->Seeds.unresolved(this->Peers.members());
  if (Unresolved.empty())
    return;
  // One at a time, so that hundreds of hosts that start together divide
  // themselves among the seeds. Each connection costs a seed memory.
  const HostListing &Seed = Unresolved[this->Rng->below(Unresolved.size())];
  Heartbeat Beat = this->makeHeartbeat(Now);
  Beat.Sequence = ++this->Sequence;
  Beat.KnownHosts = this->listingsFor({true, false});
  Out.add(SendToPeer{Seed.Id, std::move(Beat)});
}

Heartbeat MembershipPlugin::makeHeartbeat(Time Now) {
  Heartbeat Beat;
  Beat.Zone = this->Self.Zone;
  Beat.Version = this->OwnVersion;
  Beat.Leaving = this->Leaving;
  if (this->InForce) {
    Beat.Ready = this->InForce->isReady();
    Beat.InForce = this->InForce->version();
  } else if (this->CatalogueInForce) {
    Beat.Ready = this->CatalogueInForce->isReady() &&
                 this->CatalogueInForce->isCurrent(Now);
    Beat.InForce = this->CatalogueInForce->catalogue().offset();
    Beat.LogConfirmedAt = this->CatalogueInForce->confirmedAt();
  }
  if (this->EngineRegistry) {
    Beat.EnginesKnownTo = this->EngineRegistry->knownTo();
    Beat.EnginesDigest = this->EngineRegistry->digest();
  }
  if (this->Evacuations)
    Beat.Evacuations = this->Evacuations->records();
  if (this->InForce)
    Beat.RecentVersions = this->InForce->recentVersions(Now);
  const MemberSummary Known = this->knownMembers();
  Beat.MembersDigest = Known.Digest;
  Beat.MembersCount = Known.Count;
  Beat.CutOff = this->CutOff;
  Beat.Late = this->Health.lateness();
  if (this->Store && this->Store->storeConfirmedAt() != Time{})
    Beat.StoreAge = Now - this->Store->storeConfirmedAt();
  return Beat;
}

void MembershipPlugin::send(std::size_t To,
                            std::optional<std::uint64_t> AcknowledgedSequence,
                            const Introduction &Introduced, Time Now,
                            Actions &Out) {
  Heartbeat Beat = this->makeHeartbeat(Now);
  Beat.Acknowledges = AcknowledgedSequence.has_value();
  Beat.Sequence =
      AcknowledgedSequence ? *AcknowledgedSequence : ++this->Sequence;
  Beat.KnownHosts = this->listingsFor(Introduced);
  Beat.Updates = this->updatesFor(To);
  // Receivers drop updates about hosts that they do not know yet, so the state
  // of a host is sent together with its listing.
  for (const HostListing &Listing : Beat.KnownHosts)
    if (const auto Index = this->Peers.position(Listing.Id))
      Beat.Updates.push_back(this->Peers.updateOf(*Index));
  if (!AcknowledgedSequence)
    this->Peers.noteProbe(To, Beat.Sequence, Now);
  Out.add(SendToPeer{this->Peers.member(To).Listing.Id, std::move(Beat)});
}

std::vector<MemberUpdate> MembershipPlugin::updatesFor(std::size_t To) {
  const auto Hosts = static_cast<unsigned>(this->Peers.members().size() + 1);
  const std::uint32_t MaxSends = SendsPerDoubling * std::bit_width(Hosts);
  std::vector<MemberUpdate> Result =
      this->Updates.take(this->UpdatesPerHeartbeat, MaxSends);
  // A suspected host has to receive the suspicion to be able to refute it.
  const PeerRecord &Record = this->Peers.record(To);
  if (Record.MergedState.Status != IncarnationState::Liveness::Alive &&
      this->Peers.member(To).Life != Incarnation())
    Result.push_back(this->Peers.updateOf(To));
  return Result;
}

MemberUpdate MembershipPlugin::ownUpdate() const {
  return {this->Self.Host,
          this->Self.Life,
          this->OwnVersion,
          this->Leaving ? MemberState::Leaving : MemberState::Alive,
          this->InForce && this->InForce->isReady(),
          this->CutOff};
}

void MembershipPlugin::announceChanges(Time Now, Actions &Out) {
  for (const PeerChange &Change : this->Peers.takeChanges()) {
    const Member Changed = this->Peers.member(Change.Index);
    if (Change.FalselySuspected)
      this->Health.noteFalseSuspicion(Now);
    if (Change.Disseminate) {
      this->Updates.add(this->Peers.updateOf(Change.Index));
      // Callers of a lost host wait for its suspicion.
      if (Changed.State != MemberState::Alive && this->LastHeartbeat != Never)
        this->NextHeartbeat =
            std::min(this->NextHeartbeat,
                     std::max(Now, this->LastHeartbeat + MinUpdateInterval));
    }
    if (Change.StateChanged && this->LogLimiter.tryAcquire(Now))
      Out.log(logEvent(events::HostChanged)
                  .with("host", Changed.Listing.Id.Value)
                  .with("life", Changed.Life.Value)
                  .with("state", name(Changed.State))
                  .with("ready", Changed.Ready ? "true" : "false")
                  .with("in_force", Changed.InForce)
                  .with("by_silence", Change.BySilence ? "true" : "false")
                  .build());
    for (MembershipObserver *Observer :
         this->Registry->list<MembershipObserver>().all())
      Observer->memberChanged(Changed, Now, Out);
  }
}

namespace {

const PluginRegistration
    Registration({"membership",
                  {},
                  MembershipPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<MembershipPlugin>();
                  },
                  PluginUse::Both});

} // namespace

} // namespace banyanpick
