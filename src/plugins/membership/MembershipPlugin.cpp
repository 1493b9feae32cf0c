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

/// All pending updates are sent once within this number of heartbeats, however
/// many there are.
constexpr std::size_t HeartbeatsToDrainQueue = 2;

/// States of other hosts added to each heartbeat when peers are sampled. They
/// make up within seconds for updates sent before their receiver knew the host.
constexpr std::size_t StatesPerHeartbeat = 6;

/// Minimum time between two heartbeats that are sent only for changes in the
/// registry or new hosts. A dozen upstreams that restart together are reported
/// in one heartbeat.
constexpr milliseconds MinUpdateInterval(80);

/// Listings sent to a new host at once.
constexpr std::size_t ListingsForNewcomer = 32;

/// Standby hosts serve no callers, so their failure may be detected later, at a
/// lower cost. Updates are still sent at once.
constexpr int StandbyIntervalFactor = 2;

/// After this time, hosts that start together have all registered in the list,
/// so that a read then returns all of them.
constexpr seconds SecondListReadDelay(2);

/// With discovery by gossip, the list is read only for hosts that no peer
/// reported. The total number of reads must not grow with the hosts, so the
/// interval is multiplied by the number of hosts divided by this constant.
constexpr std::size_t HostsPerListRead = 8;

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
  Context.services().provide<MembershipView>(*this);
  Context.services().list<StatusContributor>().add(*this);
}

void MembershipPlugin::start(Time, Actions &Out) {
  this->CatalogueInForce = this->Registry->find<CatalogueView>();
  this->InForce = this->Registry->find<InForceView>();
  this->EngineRegistry = this->Registry->find<RegistryProgress>();
  this->ActiveHosts = this->Registry->find<ActiveHostsView>();
  this->Store = this->Registry->find<StoreFreshness>();
  this->Evacuations = this->Registry->find<EvacuationView>();
  this->EngineReach = this->Registry->find<EngineReachView>();
  if (this->GossipDiscovery)
    this->connect(Out);
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
        if (const auto *Beat = std::get_if<Heartbeat>(&Received.Message.Body))
          this->handleHeartbeat(Received.Message, *Beat, Now, Out);
      },
      [&](const StopRequest &) { this->leave(Now, Out); },
      [&](const GatewayEvent &Gateway) {
        if (const auto *Reload = std::get_if<SettingsReloaded>(&Gateway))
          this->Seeds = SeedContacts(
              Reload->Values->text("membership", "seeds"), this->Self.Peers);
      },
      [](const auto &) {});
  if (Now >= this->NextListRead) {
    this->NextListRead = Now + this->listReadInterval();
    Out.add(ReadHostList{});
  }
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
  const bool EnginesChanged =
      this->EngineRegistry &&
      this->EngineRegistry->digest() != this->SentEnginesDigest;
  return EnginesChanged && this->LastHeartbeat != Never
             ? this->LastHeartbeat + MinUpdateInterval
             : Never;
}

Duration MembershipPlugin::listReadInterval() {
  if (!this->GossipDiscovery)
    return this->ListInterval;
  if (std::exchange(this->FirstListRead, false))
    return SecondListReadDelay;
  const std::size_t Hosts = this->Peers.members().size() + 1;
  return this->ListInterval *
         std::max<std::size_t>(1, Hosts / HostsPerListRead);
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

void MembershipPlugin::learn(std::span<const HostListing> Listings, Time Now,
                             Actions &Out) {
  bool Changed = false;
  for (const HostListing &Listing : Listings) {
    if (!this->Peers.position(Listing.Id))
      Changed |= this->Peers.learn(Listing, Now);
  }
  if (!Changed)
    return;
  this->connect(Out);
  // Every answer may list more hosts. One heartbeat for each of them would
  // multiply the traffic when hundreds of hosts start together.
  const Time Soon = this->LastHeartbeat == Never
                        ? Now
                        : this->LastHeartbeat + MinUpdateInterval;
  this->NextHeartbeat = std::min(this->NextHeartbeat, std::max(Now, Soon));
}

void MembershipPlugin::connect(Actions &Out) const {
  ConnectPeers Connections;
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

std::vector<HostListing> MembershipPlugin::listingsFor(bool Newcomer) {
  std::vector<HostListing> Result;
  if (!this->GossipDiscovery)
    return Result;
  Result.push_back(this->ownListing());
  for (const std::size_t Index :
       this->samplePeers(Newcomer ? ListingsForNewcomer : ListingsPerHeartbeat))
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
      this->connect(Out);
    }
    this->learn(std::span(Beat.KnownHosts).subspan(1), Now, Out);
  }
  const auto From = this->Peers.position(Message.From);
  if (!From)
    return; // Not in the host list yet; the sender will probe again.
  Newcomer = Newcomer || this->Peers.member(*From).Life != Message.FromLife;
  this->Peers.handleHeartbeat(*From, Message.FromLife, Beat, Now);
  for (const MemberUpdate &Update : Beat.Updates)
    this->applyUpdate(Update, Now);
  if (!Beat.Acknowledges) {
    this->send(*From, Beat.Sequence, Newcomer, Now, Out);
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
  if (this->EngineRegistry)
    this->SentEnginesDigest = this->EngineRegistry->digest();
  this->Peers.detectFailures(this->Health.timeoutMultiplier(), Now);
  this->ProbesSent /= 2;
  this->ProbesAnswered /= 2;
  for (const std::size_t To :
       this->Probes.next(this->Peers, this->Self.Host, this->partners())) {
    this->send(To, std::nullopt, false, Now, Out);
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
  for (const HostListing &Listing :
       this->Seeds.unresolved(this->Peers.members())) {
    Heartbeat Beat = this->makeHeartbeat(Now);
    Beat.Sequence = ++this->Sequence;
    Beat.KnownHosts = this->listingsFor(false);
    Out.add(SendToPeer{Listing.Id, std::move(Beat)});
  }
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
  Beat.CutOff = this->CutOff;
  Beat.Late = this->Health.lateness();
  if (this->Store && this->Store->storeConfirmedAt() != Time{})
    Beat.StoreAge = Now - this->Store->storeConfirmedAt();
  return Beat;
}

void MembershipPlugin::send(std::size_t To,
                            std::optional<std::uint64_t> AcknowledgedSequence,
                            bool Newcomer, Time Now, Actions &Out) {
  Heartbeat Beat = this->makeHeartbeat(Now);
  Beat.Acknowledges = AcknowledgedSequence.has_value();
  Beat.Sequence =
      AcknowledgedSequence ? *AcknowledgedSequence : ++this->Sequence;
  Beat.KnownHosts = this->listingsFor(Newcomer);
  Beat.Updates = this->updatesFor(To);
  // Receivers drop updates about hosts that they do not know yet, so the state
  // of a host is sent together with its listing.
  for (const HostListing &Listing : Beat.KnownHosts)
    if (const auto Index = this->Peers.position(Listing.Id))
      Beat.Updates.push_back(this->updateOf(*Index));
  if (!AcknowledgedSequence)
    this->Peers.noteProbe(To, Beat.Sequence, Now);
  Out.add(SendToPeer{this->Peers.member(To).Listing.Id, std::move(Beat)});
}

std::vector<MemberUpdate> MembershipPlugin::updatesFor(std::size_t To) {
  const auto Hosts = static_cast<unsigned>(this->Peers.members().size() + 1);
  const std::uint32_t MaxSends = SendsPerDoubling * std::bit_width(Hosts);
  // When hundreds of hosts start or return together, each causes an update. A
  // fixed number per heartbeat would take longer than callers wait for them.
  const std::size_t MaxCount = std::max(
      this->UpdatesPerHeartbeat, this->Updates.size() / HeartbeatsToDrainQueue);
  std::vector<MemberUpdate> Result = this->Updates.take(MaxCount, MaxSends);
  if (this->GossipDiscovery && this->Probes.isSampling(this->Peers))
    for (const std::size_t Index : this->samplePeers(StatesPerHeartbeat))
      Result.push_back(this->updateOf(Index));
  // A suspected host has to receive the suspicion to be able to refute it.
  const PeerRecord &Record = this->Peers.record(To);
  if (Record.MergedState.Status != IncarnationState::Liveness::Alive &&
      this->Peers.member(To).Life != Incarnation())
    Result.push_back(this->updateOf(To));
  return Result;
}

MemberUpdate MembershipPlugin::updateOf(std::size_t Index) const {
  const Member &Peer = this->Peers.member(Index);
  const IncarnationState &MergedState = this->Peers.record(Index).MergedState;
  return {Peer.Listing.Id,          Peer.Life,         MergedState.Version,
          memberState(MergedState), MergedState.Ready, MergedState.CutOff};
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
    if (Change.Disseminate)
      this->Updates.add(this->updateOf(Change.Index));
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

std::vector<SettingDeclaration> MembershipPlugin::settings() {
  const std::string Section = "membership";
  return {{.Section = Section,
           .Key = "discovery",
           .Kind = SettingKind::Choice,
           .Default = "list",
           .Help = "How entry hosts find each other: only as the host list "
                   "says, or by hearing of each other from seeds and peers, "
                   "too.",
           .Choices = {"list", "gossip"}},
          {Section, "seeds", SettingKind::Text, "",
           "Where peers may be found at the start (ip:port, divided by "
           "commas); for discovery by gossip."},
          {Section, "host_list_interval", SettingKind::Span, "1s",
           "How often the platform's host list is read.", 50e3, 60e6},
          {Section, "heartbeat_interval", SettingKind::Span, "500ms",
           "How often heartbeats are sent to other entry hosts.", 50e3, 10e6},
          {Section, "full_mesh_hosts", SettingKind::Whole, "16",
           "Up to so many entry hosts, each sends heartbeats to every other.",
           1, 1024},
          {Section, "fanout", SettingKind::Whole, "2",
           "With more entry hosts, how many are sent a heartbeat at each "
           "interval.",
           1, 64},
          {Section, "rumours_per_heartbeat", SettingKind::Whole, "4",
           "How much news of other hosts one heartbeat carries.", 1, 64},
          {Section, "suspect_after", SettingKind::Span, "2s",
           "A host that leaves a heartbeat unanswered for so long is "
           "suspected.",
           200e3, 60e6},
          {Section, "dead_after", SettingKind::Span, "3s",
           "A suspected host that does not answer for so long is taken for "
           "dead; longer with more than ten hosts.",
           200e3, 600e6},
          {Section, "forget_after", SettingKind::Span, "10min",
           "A dead host out of the host list is forgotten after so long.", 1e6,
           86400e6}};
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
