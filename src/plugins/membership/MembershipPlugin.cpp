#include "plugins/membership/MembershipPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace banyanpick {

namespace {

/// A rumour rides on this many heartbeats for each doubling of the hosts.
constexpr std::uint32_t TimesToldPerDoubling = 3;

/// Other hosts named in each heartbeat where hosts find each other by hearing:
/// enough that a newcomer is known to all of sixteen within a few intervals.
constexpr std::size_t HostsNamed = 2;

/// All news that waits is told once in so many heartbeats, however much it is.
constexpr std::size_t HeartbeatsForAllNews = 2;

/// Beliefs of other hosts that ride on each heartbeat among many: news that
/// was told before its receiver knew the host is made up for within seconds.
constexpr std::size_t BeliefsNamed = 6;

/// Between two heartbeats that only tell of changes in the registry, or of new
/// hosts: a dozen upstreams that restart together are one piece of news.
constexpr milliseconds LeastNewsPause(80);

/// Hosts named to a newcomer at once.
constexpr std::size_t HostsNamedToNewcomer = 32;

/// Hosts that stand by are not missed by callers, so they may be found dead
/// later and cost less. News goes out at once all the same.
constexpr int StandbyPauseFactor = 2;

/// Hosts that start together have written themselves into the list after so
/// long; who reads it then knows all of them.
constexpr seconds SecondListReadAfter(2);

/// Hosts find each other by hearing; the list is read for those that nobody
/// told of. Its reads in all must not grow with the hosts, so each host reads
/// it more seldom when there are several times as many.
constexpr std::size_t HostsForEachRead = 8;

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
  const std::string_view In = "membership";
  this->Own = Context.self();
  this->Offered = &Context.services();
  this->ListInterval = Values.span(In, "host_list_interval");
  this->BeatInterval = Values.span(In, "heartbeat_interval");
  this->RumoursEach = Values.whole(In, "rumours_per_heartbeat");
  const PeerTimeouts Timeouts{Values.span(In, "suspect_after"),
                              Values.span(In, "dead_after"),
                              Values.span(In, "forget_after")};
  // Silence of half a suspicion's length may be our own.
  this->PauseLimit = Timeouts.SuspectAfter / 2;
  this->Peers = PeerTable(this->Own, Timeouts);
  this->Probes = ProbeRound(
      {Values.whole(In, "full_mesh_hosts"), Values.whole(In, "fanout")},
      Context.random());
  this->Gossips = Values.text(In, "discovery") == "gossip";
  this->Seeds = SeedContacts(Values.text(In, "seeds"), this->Own.Peers);
  this->Numbers = &Context.random();
  Context.services().provide<MembershipView>(*this);
  Context.services().list<StatusContributor>().add(*this);
}

void MembershipPlugin::start(Time, Actions &Out) {
  this->Declared = this->Offered->find<CatalogueView>();
  this->InForce = this->Offered->find<InForceView>();
  this->Registry = this->Offered->find<RegistryProgress>();
  this->Active = this->Offered->find<ActiveHostsView>();
  this->Store = this->Offered->find<StoreFreshness>();
  if (this->Gossips)
    this->connect(Out);
}

void MembershipPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What, [&](const HostListRead &List) { this->takeList(List, Now, Out); },
      [&](const HostListReadFailed &) {
        if (this->ListReachable)
          Out.log(logEvent(events::HostListUnreachable).build());
        this->ListReachable = false;
      },
      [&](const PeerMessageReceived &Is) {
        if (const auto *Beat = std::get_if<Heartbeat>(&Is.Message.Body))
          this->takeHeartbeat(Is.Message, *Beat, Now, Out);
      },
      [&](const StopRequest &) { this->leave(Now, Out); },
      [&](const GatewayEvent &Is) {
        if (const auto *Reload = std::get_if<SettingsReloaded>(&Is))
          this->Seeds = SeedContacts(
              Reload->Values->text("membership", "seeds"), this->Own.Peers);
      },
      [](const auto &) {});
  if (Now >= this->NextListRead) {
    this->NextListRead = Now + this->listPause();
    Out.add(ReadHostList{});
  }
  if (Now >= std::min(this->NextBeat, this->newsDue()))
    this->beat(Now, Out);
  this->announceChanges(Now, Out);
}

Time MembershipPlugin::newsDue() const {
  const bool Declared =
      this->InForce && (this->InForce->version() != this->ToldVersion ||
                        this->InForce->isReady() != this->ToldReady);
  if (Declared)
    return Time{};
  const bool Engines =
      this->Registry && this->Registry->digest() != this->ToldEngines;
  return Engines && this->LastBeat != Never ? this->LastBeat + LeastNewsPause
                                            : Never;
}

Duration MembershipPlugin::listPause() {
  if (!this->Gossips)
    return this->ListInterval;
  if (std::exchange(this->FirstListRead, false))
    return SecondListReadAfter;
  const std::size_t Hosts = this->Peers.members().size() + 1;
  return this->ListInterval *
         std::max<std::size_t>(1, Hosts / HostsForEachRead);
}

Time MembershipPlugin::nextWake() const {
  return std::min({this->newsDue(), this->NextListRead, this->NextBeat});
}

void MembershipPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  const auto Members = this->Peers.members();
  const bool Ordered = std::ranges::is_sorted(
      Members, {}, [](const Member &Each) { return Each.Listing.Id; });
  Monitor.require(Ordered, "peers are ordered by name");
  for (const Member &Each : Members)
    Monitor.require(Each.Life == Incarnation() ||
                        Each.State == MemberState::Dead ||
                        !this->isDead(Each.Listing.Id, Each.Life),
                    "no life is alive and over at once");
}

std::vector<HostId> MembershipPlugin::livePeers() const {
  std::vector<HostId> Result;
  for (const Member &Each : this->Peers.members()) {
    const bool Stays =
        Each.State == MemberState::Alive || Each.State == MemberState::Suspect;
    if (Stays && Each.Life != Incarnation())
      Result.push_back(Each.Listing.Id);
  }
  return Result;
}

bool MembershipPlugin::isDead(const HostId &Host, Incarnation Life) const {
  return this->Peers.isOver(Host, Life);
}

bool MembershipPlugin::hasLeft(const HostId &Host, Incarnation Life) const {
  return this->Peers.hasLeft(Host, Life);
}

void MembershipPlugin::contribute(StatusReport &Report, Time Now) const {
  Report.Hosts.push_back(
      {this->Own.Host, this->Own.Zone,
       this->Leaving ? MemberState::Leaving : MemberState::Alive,
       this->Declared && this->Declared->isReady(),
       this->Declared ? this->Declared->catalogue().offset() : 0, Duration(0)});
  for (const Member &Each : this->Peers.members())
    Report.Hosts.push_back({Each.Listing.Id, Each.Listing.Zone, Each.State,
                            Each.Ready, Each.InForce, Now - Each.LastHeard});
}

void MembershipPlugin::takeList(const HostListRead &List, Time Now,
                                Actions &Out) {
  if (!this->ListReachable)
    Out.log(logEvent(events::HostListReachable).build());
  this->ListReachable = true;
  this->ListRead = true;
  if (this->Gossips) {
    this->learn(List.Hosts, Now, Out);
    return;
  }
  if (!this->Peers.takeList(List.Hosts, Now))
    return;
  this->connect(Out);
  this->NextBeat = Now;
}

void MembershipPlugin::learn(std::span<const HostListing> KnownHosts, Time Now,
                             Actions &Out) {
  bool Changed = false;
  for (const HostListing &Each : Known) {
    if (!this->Peers.position(Each.Id))
      Changed |= this->Peers.learn(Each, Now);
  }
  if (!Changed)
    return;
  this->connect(Out);
  // Every answer may name more hosts; one heartbeat for each of them would
  // multiply when hundreds start together.
  const Time Soon =
      this->LastBeat == Never ? Now : this->LastBeat + LeastNewsPause;
  this->NextBeat = std::min(this->NextBeat, std::max(Now, Soon));
}

void MembershipPlugin::connect(Actions &Out) const {
  ConnectPeers Wanted;
  for (const Member &Each : this->Peers.members())
    Wanted.Peers.push_back(Each.Listing);
  for (HostListing &Each : this->Seeds.unknown(this->Peers.members()))
    Wanted.Peers.push_back(std::move(Each));
  Out.add(std::move(Wanted));
}

HostListing MembershipPlugin::ownListing() const {
  return {this->Own.Host,  this->Own.Zone, this->Own.Callers,
          this->Own.Peers, false,          this->Own.Processor};
}

std::vector<HostListing> MembershipPlugin::listingsFor(bool Newcomer) {
  std::vector<HostListing> Result;
  if (!this->Gossips)
    return Result;
  Result.push_back(this->ownListing());
  for (const std::size_t At :
       this->someOthers(Newcomer ? HostsNamedToNewcomer : HostsNamed))
    Result.push_back(this->Peers.member(At).Listing);
  return Result;
}

std::vector<std::size_t> MembershipPlugin::someOthers(std::size_t Most) {
  std::vector<std::size_t> Result;
  const std::span<const Member> All = this->Peers.members();
  if (All.empty())
    return Result;
  // A run from a random place on: each heartbeat makes one, so it must not cost
  // more with more hosts.
  const std::size_t From = this->Numbers->below(All.size());
  for (std::size_t Count = 0; Count < std::min(All.size(), Most); ++Count) {
    const std::size_t At = (From + Count) % All.size();
    if (All[At].State != MemberState::Dead && All[At].Life != Incarnation())
      Result.push_back(At);
  }
  return Result;
}

void MembershipPlugin::takeHeartbeat(const PeerMessage &Message,
                                     const Heartbeat &Beat, Time Now,
                                     Actions &Out) {
  if (Message.From == this->Own.Host) {
    if (Message.FromLife != this->Own.Life)
      Out.log(logEvent(events::HostNameInUse)
                  .with("host", this->Own.Host.Value)
                  .build());
    return;
  }
  bool Newcomer = false;
  if (this->Gossips && !Beat.KnownHosts.empty()) {
    const HostListing &Sender = Beat.KnownHosts.front();
    if (Sender.Id == Message.From && this->Peers.learn(Sender, Now)) {
      Newcomer = true;
      this->connect(Out);
    }
    this->learn(std::span(Beat.KnownHosts).subspan(1), Now, Out);
  }
  const auto From = this->Peers.position(Message.From);
  if (!From)
    return; // Not in the host list yet; it will ask again.
  Newcomer = Newcomer || this->Peers.member(*From).Life != Message.FromLife;
  this->Peers.takeHeartbeat(*From, Message.FromLife, Beat, Now);
  for (const MemberUpdate &Each : Beat.Updates)
    this->takeRumour(Each, Now);
  if (!Beat.Acknowledges) {
    this->send(*From, Beat.Sequence, Newcomer, Now, Out);
    return;
  }
  ++this->Answered;
  if (this->Probes.isSampling(this->Peers) && this->Answered * 2 > this->Asked)
    this->Peers.noteSample(Now);
}

void MembershipPlugin::takeRumour(const MemberUpdate &Rumour, Time Now) {
  if (Rumour.Host == this->Own.Host)
    this->refute(Rumour, Now);
  else if (const auto About = this->Peers.position(Rumour.Host))
    this->Peers.takeRumour(*About, Rumour, this->Gossips, Now);
}

void MembershipPlugin::refute(const MemberUpdate &Rumour, Time Now) {
  const bool Accused = Rumour.Life == this->Own.Life &&
                       beliefOf(Rumour).Stands != LifeBelief::Standing::Alive &&
                       Rumour.Version >= this->OwnVersion;
  if (!Accused)
    return;
  this->Health.noteMistake(Now);
  this->OwnVersion = Rumour.Version + 1;
  this->News.add(this->ownRumour());
}

void MembershipPlugin::leave(Time Now, Actions &Out) {
  if (this->Leaving)
    return;
  this->Leaving = true;
  ++this->OwnVersion;
  this->News.add(this->ownRumour());
  this->beat(Now, Out);
}

void MembershipPlugin::beat(Time Now, Actions &Out) {
  const bool WasPaused =
      this->LastBeat != Never &&
      Now > this->LastBeat + this->beatPause() + this->PauseLimit;
  if (WasPaused) {
    Out.log(logEvent(events::ProcessWasPaused)
                .with("for_us", (Now - this->LastBeat).count())
                .build());
    this->Peers.forgive(Now);
  }
  const Duration Late =
      this->NextBeat == Time{} ? Duration(0) : Now - this->NextBeat;
  this->Health.noteBeat(std::max(Late, Duration(0)), this->BeatInterval, Now);
  this->LastBeat = Now;
  this->NextBeat = Now + this->beatPause();
  if (this->InForce) {
    // Most hosts of many hear of it in this way only.
    if (this->InForce->isReady() && !this->ToldReady)
      this->News.add(this->ownRumour());
    this->ToldVersion = this->InForce->version();
    this->ToldReady = this->InForce->isReady();
  }
  if (this->Registry)
    this->ToldEngines = this->Registry->digest();
  this->Peers.age(this->Health.patience(), Now);
  this->Asked /= 2;
  this->Answered /= 2;
  for (const std::size_t To :
       this->Probes.next(this->Peers, this->Own.Host, this->partners())) {
    this->send(To, std::nullopt, false, Now, Out);
    ++this->Asked;
  }
  if (this->Gossips)
    this->greetSeeds(Now, Out);
}

Duration MembershipPlugin::beatPause() const {
  const bool StandsBy = this->Active && !this->Active->isActive() &&
                        this->Probes.isSampling(this->Peers);
  return StandsBy ? this->BeatInterval * StandbyPauseFactor
                  : this->BeatInterval;
}

std::span<const HostId> MembershipPlugin::partners() const {
  return this->Active ? this->Active->partners() : std::span<const HostId>();
}

void MembershipPlugin::greetSeeds(Time Now, Actions &Out) {
  for (const HostListing &Each : this->Seeds.unknown(this->Peers.members())) {
    Heartbeat Beat = this->makeBeat(Now);
    Beat.Sequence = ++this->Sequence;
    Beat.KnownHosts = this->listingsFor(false);
    Out.add(SendToPeer{Each.Id, std::move(Beat)});
  }
}

Heartbeat MembershipPlugin::makeBeat(Time Now) {
  Heartbeat Beat;
  Beat.Zone = this->Own.Zone;
  Beat.Version = this->OwnVersion;
  Beat.Leaving = this->Leaving;
  if (this->InForce) {
    Beat.Ready = this->InForce->isReady();
    Beat.InForce = this->InForce->version();
  } else if (this->Declared) {
    Beat.Ready = this->Declared->isReady() && this->Declared->isCurrent(Now);
    Beat.InForce = this->Declared->catalogue().offset();
    Beat.LogConfirmedAt = this->Declared->confirmedAt();
  }
  if (this->Registry) {
    Beat.EnginesKnownTo = this->Registry->knownTo();
    Beat.EnginesDigest = this->Registry->digest();
  }
  Beat.Late = this->Health.late();
  if (this->Store && this->Store->storeConfirmedAt() != Time{})
    Beat.StoreAge = Now - this->Store->storeConfirmedAt();
  return Beat;
}

void MembershipPlugin::send(std::size_t To,
                            std::optional<std::uint64_t> Answered,
                            bool Newcomer, Time Now, Actions &Out) {
  Heartbeat Beat = this->makeBeat(Now);
  Beat.Acknowledges = Answered.has_value();
  Beat.Sequence = Answered ? *Answered : ++this->Sequence;
  Beat.KnownHosts = this->listingsFor(Newcomer);
  Beat.Updates = this->rumoursFor(To);
  // A rumour of a host that was not known yet was lost on whoever heard it, so
  // what is believed of a host goes along with its listing.
  for (const HostListing &Each : Beat.KnownHosts)
    if (const auto At = this->Peers.position(Each.Id))
      Beat.Updates.push_back(this->rumourOf(*At));
  if (!Answered)
    this->Peers.noteProbe(To, Beat.Sequence, Now);
  Out.add(SendToPeer{this->Peers.member(To).Listing.Id, std::move(Beat)});
}

std::vector<MemberUpdate> MembershipPlugin::rumoursFor(std::size_t To) {
  const auto Hosts = static_cast<unsigned>(this->Peers.members().size() + 1);
  const std::uint32_t Times = TimesToldPerDoubling * std::bit_width(Hosts);
  // When hundreds of hosts start or return together, each is news; a fixed
  // number a heartbeat would take longer than callers wait for them.
  const std::size_t Most =
      std::max(this->RumoursEach, this->News.size() / HeartbeatsForAllNews);
  std::vector<MemberUpdate> Result = this->News.take(Most, Times);
  if (this->Gossips && this->Probes.isSampling(this->Peers))
    for (const std::size_t Each : this->someOthers(BeliefsNamed))
      Result.push_back(this->rumourOf(Each));
  // Whoever is suspected must hear of it to be able to refute.
  const PeerRecord &Record = this->Peers.record(To);
  if (Record.Belief.Stands != LifeBelief::Standing::Alive &&
      this->Peers.member(To).Life != Incarnation())
    Result.push_back(this->rumourOf(To));
  return Result;
}

MemberUpdate MembershipPlugin::rumourOf(std::size_t At) const {
  const Member &Of = this->Peers.member(At);
  const LifeBelief &Belief = this->Peers.record(At).Belief;
  return {Of.Listing.Id, Of.Life, Belief.Version, stateOf(Belief),
          Belief.Ready};
}

MemberUpdate MembershipPlugin::ownRumour() const {
  return {this->Own.Host, this->Own.Life, this->OwnVersion,
          this->Leaving ? MemberState::Leaving : MemberState::Alive,
          this->InForce && this->InForce->isReady()};
}

void MembershipPlugin::announceChanges(Time Now, Actions &Out) {
  for (const PeerChange &Change : this->Peers.takeChanges()) {
    const Member Changed = this->Peers.member(Change.At);
    if (Change.Mistaken)
      this->Health.noteMistake(Now);
    if (Change.IsNews)
      this->News.add(this->rumourOf(Change.At));
    if (Change.StateChanged && this->Lines.take(Now))
      Out.log(logEvent(events::HostChanged)
                  .with("host", Changed.Listing.Id.Value)
                  .with("life", Changed.Life.Value)
                  .with("state", name(Changed.State))
                  .with("ready", Changed.Ready ? "true" : "false")
                  .with("in_force", Changed.InForce)
                  .with("by_silence", Change.BySilence ? "true" : "false")
                  .build());
    for (MembershipObserver *Each :
         this->Offered->list<MembershipObserver>().all())
      Each->memberChanged(Changed, Now, Out);
  }
}

std::vector<SettingDeclaration> MembershipPlugin::settings() {
  const std::string In = "membership";
  return {{.Section = In,
           .Key = "discovery",
           .Kind = SettingKind::Choice,
           .Default = "list",
           .Help = "How entry hosts find each other: only as the host list "
                   "says, or by hearing of each other from seeds and peers, "
                   "too.",
           .Choices = {"list", "gossip"}},
          {In, "seeds", SettingKind::Text, "",
           "Where peers may be found at the start (ip:port, divided by "
           "commas); for discovery by gossip."},
          {In, "host_list_interval", SettingKind::Span, "1s",
           "How often the platform's host list is read.", 50e3, 60e6},
          {In, "heartbeat_interval", SettingKind::Span, "500ms",
           "How often heartbeats are sent to other entry hosts.", 50e3, 10e6},
          {In, "full_mesh_hosts", SettingKind::Whole, "16",
           "Up to so many entry hosts, each sends heartbeats to every other.",
           1, 1024},
          {In, "fanout", SettingKind::Whole, "2",
           "With more entry hosts, how many are sent a heartbeat at each "
           "interval.",
           1, 64},
          {In, "rumours_per_heartbeat", SettingKind::Whole, "4",
           "How much news of other hosts one heartbeat carries.", 1, 64},
          {In, "suspect_after", SettingKind::Span, "2s",
           "A host that leaves a heartbeat unanswered for so long is "
           "suspected.",
           200e3, 60e6},
          {In, "dead_after", SettingKind::Span, "3s",
           "A suspected host that does not answer for so long is taken for "
           "dead; longer with more than ten hosts.",
           200e3, 600e6},
          {In, "forget_after", SettingKind::Span, "10min",
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
