#include "plugins/fleet/FleetPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "plugins/fleet/FleetNames.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Peers' words on their work are dropped after this many of their intervals.
constexpr int WorkIntervalsKept = 4;
/// Upstreams named in one message on work.
constexpr std::size_t MostWorkItems = 12;
/// With so many peers to tell, work is told at the interval of the settings;
/// with more it is told less often, so that the bytes sent stay the same.
constexpr std::size_t PeersAtFullRate = 4;
/// Hosts that poll an upstream when not all of them do.
constexpr std::size_t PollersEach = 2;

} // namespace

void FleetPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view In = "fleet";
  this->Offered = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->PollInterval = Values.span(In, "load_poll_interval");
  this->PollTimeout = Values.span(In, "load_poll_timeout");
  this->StaleAfter = Values.span(In, "stale_after");
  this->RelayInterval = Values.span(In, "relay_interval");
  this->WorkInterval = Values.span(In, "work_interval");
  this->FullPollHosts = Values.whole(In, "full_poll_hosts");
  this->FollowedZones = zonesIn(Values.text(In, "zones"));
  this->Table = UpstreamTable({this->StaleAfter, Values.span(In, "dead_after"),
                               Values.span(In, "unlisted_grace"),
                               Values.span(In, "forget_after")});
  Context.services().provide<FleetView>(*this);
  Context.services().list<RequestObserver>().add(*this);
  Context.services().list<MembershipObserver>().add(*this);
  Context.services().list<StatusContributor>().add(*this);
}

void FleetPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What, [&](const HostListRead &List) { this->takeList(List, Now); },
      [&](const LoadReported &Load) {
        this->takePollAnswer(Load.Report, Now, Out);
      },
      [&](const LoadPollFailed &Failure) {
        this->takePollFailure(Failure, Now);
      },
      [&](const PeerMessageReceived &Is) {
        this->takePeerMessage(Is.Message, Now);
      },
      [](const auto &) {});
  if (Now >= this->NextPoll)
    this->poll(Now, Out);
  if (Now >= this->NextWork)
    this->tellWork(Now, Out);
  this->announceChanges(Now, Out);
}

Time FleetPlugin::nextWake() const {
  return std::min(this->NextPoll, this->NextWork);
}

void FleetPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  std::uint64_t Outstanding = 0;
  for (const Upstream &Each : this->Table.upstreams()) {
    Outstanding += Each.OutstandingHere;
    const std::uint32_t *At = this->Table.position(Each.Listing.Id);
    Monitor.require(At && &this->Table.upstreams()[*At] == &Each,
                    "each upstream is found by its name");
  }
  Monitor.require(Outstanding <= this->Ledger.attempts(),
                  "no upstream is charged for an attempt that ended");
}

const Upstream *FleetPlugin::find(const UpstreamId &Id) const {
  const std::uint32_t *At = this->Table.position(Id);
  return At ? &this->Table.upstreams()[*At] : nullptr;
}

void FleetPlugin::dispatched(const Request &Asked, const Attempt &Started,
                             Time Now, Actions &) {
  this->Ledger.add(Asked, Started);
  this->refreshWork(Started.Upstream);
  this->WorkChanged = true;
  this->NextWork = std::min(this->NextWork, Now + this->WorkInterval);
}

void FleetPlugin::firstToken(const Request &, const Attempt &Of, Time,
                             Actions &) {
  this->Ledger.noteFirstToken(Of.Id);
  this->refreshWork(Of.Upstream);
  this->WorkChanged = true;
}

void FleetPlugin::attemptEnded(const Request &, const Attempt &Ended,
                               const AttemptOutcome &Outcome, Time Now,
                               Actions &Out) {
  this->Ledger.remove(Ended.Id);
  this->refreshWork(Ended.Upstream);
  this->WorkChanged = true;
  const std::uint32_t *At = this->Table.position(Ended.Upstream);
  if (!At)
    return;
  const auto *Refused = std::get_if<AttemptRefused>(&Outcome);
  if (Refused && Refused->Reason == AttemptRefused::Why::Leaving)
    this->Table.noteLeaving(*At, Ended.UpstreamLife, SignSource::OwnExperience,
                            Now);
  const auto *Broken = std::get_if<AttemptBroken>(&Outcome);
  if (Broken && Broken->UpstreamDied &&
      Ended.UpstreamLife == this->Table.upstreams()[*At].Listing.Life) {
    this->Table.noteRefused(*At, Now);
    this->pollOne(this->Table.upstreams()[*At], Now, Out);
  }
  this->announceChanges(Now, Out);
}

void FleetPlugin::memberChanged(const Member &Changed, Time, Actions &Out) {
  // It may be new, or have missed the notices while it was paused or cut off.
  if (Changed.State == MemberState::Alive)
    this->remindOfLeaving(Changed.Listing.Id, Out);
}

void FleetPlugin::remindOfLeaving(const HostId &Peer, Actions &Out) const {
  for (const Upstream &Each : this->Table.upstreams())
    if (Each.State == UpstreamState::Leaving)
      Out.add(SendToPeer{Peer, UpstreamNotice{Each.Listing.Id,
                                              Each.Listing.Life, true, false}});
}

void FleetPlugin::remindNextPeer(Actions &Out) {
  // Notices may be lost; each peer in turn hears them again.
  const std::vector<HostId> Peers = this->Members->livePeers();
  if (!Peers.empty())
    this->remindOfLeaving(Peers[this->Reminded++ % Peers.size()], Out);
}

void FleetPlugin::contribute(StatusReport &Report, Time Now) const {
  for (const Upstream &Each : this->Table.upstreams())
    Report.Upstreams.push_back(
        {Each.Listing.Id, Each.Listing.Kind, Each.Listing.Zone,
         std::string(name(Each.State)), Each.Report.QueuedPrefillTokens,
         Each.Report.FreeMemoryTokens, Each.Report.MemoryTokens,
         Each.Report.Running,
         Each.ReportAt == Time{} ? Duration(0) : Now - Each.ReportAt});
}

void FleetPlugin::takeList(const HostListRead &List, Time Now) {
  std::vector<UpstreamListing> Followed;
  for (const UpstreamListing &Each : List.Upstreams)
    if (this->isFollowed(Each))
      Followed.push_back(Each);
  if (!this->Table.takeList(Followed, Now))
    return;
  for (const Upstream &Each : this->Table.upstreams())
    this->refreshWork(Each.Listing.Id);
  std::erase_if(this->Polls, [this](const auto &Each) {
    return !this->Table.position(Each.first);
  });
  this->NextPoll = Now;
}

void FleetPlugin::takePollAnswer(const LoadReport &Report, Time Now,
                                 Actions &Out) {
  const std::uint32_t *At = this->Table.position(Report.Id);
  if (!At)
    return;
  this->Polls[Report.Id].AskedAt = Never;
  this->Table.takeOwnReport(*At, Report, Now);
  this->Ledger.noteReport(Report.Id, Report.MeasuredAt);
  this->refreshWork(Report.Id);
  if (!this->followsAll())
    this->relay(Report, Now, Out);
}

void FleetPlugin::takePollFailure(const LoadPollFailed &Failure, Time Now) {
  const std::uint32_t *At = this->Table.position(Failure.Upstream);
  if (!At)
    return;
  this->Polls[Failure.Upstream].AskedAt = Never;
  if (Failure.Refused)
    this->Table.noteRefused(*At, Now);
}

void FleetPlugin::takePeerMessage(const PeerMessage &Message, Time Now) {
  match(
      Message.Body,
      [&](const WorkSent &Work) {
        for (const UpstreamId &Each :
             this->Ledger.takePeerWork(Message.From, Work, Now))
          this->refreshWork(Each);
      },
      [&](const UpstreamNotice &Notice) { this->takeNotice(Notice, Now); },
      [&](const LoadRelayed &Load) {
        const std::uint32_t *At = this->Table.position(Load.Report.Id);
        if (!At)
          return;
        this->Table.takeRelayedReport(*At, Load.Report, Now);
        this->Ledger.noteReport(Load.Report.Id, Load.Report.MeasuredAt);
        this->refreshWork(Load.Report.Id);
      },
      [](const auto &) {});
}

void FleetPlugin::takeNotice(const UpstreamNotice &Notice, Time Now) {
  const std::uint32_t *At = this->Table.position(Notice.Upstream);
  if (!At)
    return;
  if (Notice.Leaving)
    this->Table.noteLeaving(*At, Notice.Life, SignSource::Peer, Now);
  if (Notice.Dead)
    this->Table.noteDead(*At, Notice.Life, Now);
}

void FleetPlugin::relay(const LoadReport &Report, Time Now, Actions &Out) {
  const bool Mine = this->Followers.ownRank(Report.Id) == 0 ||
                    this->Followers.standsIn(Report.Id, *this->Members);
  Polling &Of = this->Polls[Report.Id];
  const bool Urgent = Report.Life != Of.Relayed.Life ||
                      Report.Leaving != Of.Relayed.Leaving ||
                      Report.Models != Of.Relayed.Models;
  // Half of what receivers wait before they call the upstream unknown.
  const Duration Wait = differsMuch(Report, Of.Relayed)
                            ? this->RelayInterval
                            : this->StaleAfter * 3 / 2;
  if (!Mine || (!Urgent && Now < Of.RelayedAt + Wait))
    return;
  Of.RelayedAt = Now;
  Of.Relayed = Report;
  Of.Relayed.Holds.clear();
  for (const HostId &Each : this->Followers.others())
    Out.add(SendToPeer{Each, LoadRelayed{Of.Relayed}});
}

void FleetPlugin::poll(Time Now, Actions &Out) {
  // After a pause of this process silence says nothing of the upstreams.
  const bool WasPaused =
      this->NextPoll != Time{} && Now > this->NextPoll + this->StaleAfter / 2;
  if (WasPaused)
    this->JudgeFrom = Now + this->StaleAfter;
  this->NextPoll = Now + this->PollInterval;
  if (Now >= this->JudgeFrom)
    this->Table.age(Now);
  this->remindNextPeer(Out);
  this->Followers.update(*this->Members);
  const bool All = this->followsAll();
  for (const Upstream &Each : this->Table.upstreams())
    if (All || this->Followers.ownRank(Each.Listing.Id) < PollersEach)
      this->pollOne(Each, Now, Out);
  const Time Oldest = Now - this->tellInterval() * WorkIntervalsKept;
  for (const UpstreamId &Each : this->Ledger.dropPeerWorkBefore(Oldest))
    this->refreshWork(Each);
}

void FleetPlugin::pollOne(const Upstream &Of, Time Now, Actions &Out) {
  Polling &Kept = this->Polls[Of.Listing.Id];
  const bool Asked =
      Kept.AskedAt != Never && Now < Kept.AskedAt + this->PollTimeout;
  if (Asked)
    return;
  Kept.AskedAt = Now;
  Out.add(PollLoad{Of.Listing.Id, Of.Listing.At});
}

void FleetPlugin::tellWork(Time Now, Actions &Out) {
  const bool Idle = this->Ledger.attempts() == 0 && !this->WorkChanged;
  this->NextWork = Idle ? Never : Now + this->tellInterval();
  if (Idle)
    return;
  this->WorkChanged = false;
  const WorkSent Work = this->Ledger.toTell(MostWorkItems);
  for (const HostId &Each : this->toldOfWork())
    Out.add(SendToPeer{Each, Work});
}

std::vector<HostId> FleetPlugin::toldOfWork() const {
  return this->followsAll() ? this->Members->livePeers()
                            : this->Followers.others();
}

Duration FleetPlugin::tellInterval() const {
  const std::size_t Told = this->toldOfWork().size();
  return this->WorkInterval * std::max(Told, PeersAtFullRate) / PeersAtFullRate;
}

void FleetPlugin::refreshWork(const UpstreamId &On) {
  const std::uint32_t *At = this->Table.position(On);
  if (!At)
    return;
  Upstream &Of = this->Table.at(*At);
  const OwnWork Own = this->Ledger.own(On);
  Of.UnreportedPrefillTokens = Own.UnreportedPrefillTokens;
  Of.OutstandingHere = Own.Requests;
  Of.OutstandingTokensHere = Own.Tokens;
  const PeerWork Peers = this->Ledger.ofPeers(On);
  Of.PeerPrefillTokens = Peers.PrefillTokens;
  Of.PeerRequests = Peers.Requests;
}

void FleetPlugin::announceChanges(Time Now, Actions &Out) {
  for (const UpstreamChange &Change : this->Table.takeChanges()) {
    const Upstream Changed = this->Table.upstreams()[Change.At];
    Out.log(logEvent(events::UpstreamChanged)
                .with("upstream", Changed.Listing.Id.Value)
                .with("life", Changed.Listing.Life.Value)
                .with("state", name(Changed.State))
                .build());
    const UpstreamNotice Notice{Changed.Listing.Id, Changed.Listing.Life,
                                Changed.State == UpstreamState::Leaving,
                                Changed.State == UpstreamState::Dead};
    if (Change.TellPeers)
      for (const HostId &Each : this->Members->livePeers())
        Out.add(SendToPeer{Each, Notice});
    for (FleetObserver *Each : this->Offered->list<FleetObserver>().all())
      Each->upstreamChanged(Changed, Now, Out);
  }
}

bool FleetPlugin::followsAll() const {
  return this->Members->peers().size() + 1 <= this->FullPollHosts;
}

bool FleetPlugin::isFollowed(const UpstreamListing &Listing) const {
  return this->FollowedZones.empty() ||
         this->FollowedZones.contains(Listing.Zone);
}

std::vector<SettingDeclaration> FleetPlugin::settings() {
  const std::string In = "fleet";
  return {{In, "load_poll_interval", SettingKind::Span, "250ms",
           "How often an upstream is asked for its load.", 10e3, 60e6},
          {In, "load_poll_timeout", SettingKind::Span, "2s",
           "An unanswered load poll is repeated after so long.", 10e3, 60e6},
          {In, "stale_after", SettingKind::Span, "3s",
           "An upstream without a report for so long counts as unknown.", 100e3,
           600e6},
          {In, "dead_after", SettingKind::Span, "15s",
           "An upstream without a report for so long counts as dead.", 1e6,
           3600e6},
          {In, "unlisted_grace", SettingKind::Span, "2s",
           "An upstream out of the host list for so long gets no new work.", 0,
           600e6},
          {In, "forget_after", SettingKind::Span, "1min",
           "An upstream out of the host list and silent for so long is "
           "forgotten.",
           1e6, 86400e6},
          {In, "full_poll_hosts", SettingKind::Whole, "12",
           "Up to so many entry hosts, each polls every upstream; with more, "
           "two of each zone do and pass the reports on.",
           1, 1024},
          {In, "relay_interval", SettingKind::Span, "2s",
           "How often a changed report is passed on at most.", 10e3, 60e6},
          {In, "work_interval", SettingKind::Span, "200ms",
           "How often peers are told of work sent to upstreams.", 10e3, 10e6},
          {In, "zones", SettingKind::Text, "",
           "Zones whose upstreams are used, separated by commas; empty: all."}};
}

namespace {

const PluginRegistration Registration({"fleet",
                                       {"membership"},
                                       FleetPlugin::settings,
                                       []() -> std::unique_ptr<Plugin> {
                                         return std::make_unique<FleetPlugin>();
                                       }});

} // namespace

} // namespace banyanpick
