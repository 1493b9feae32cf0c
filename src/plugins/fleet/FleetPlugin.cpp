#include "plugins/fleet/FleetPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "plugins/fleet/FleetHelpers.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Work reports of peers expire after this number of their intervals.
constexpr int WorkIntervalsKept = 4;
/// Maximum number of upstreams in one work report.
constexpr std::size_t MaxWorkItems = 12;
/// Up to this number of peers, work is reported at the configured interval.
/// With more peers it is reported less often, so that the bytes sent stay the
/// same.
constexpr std::size_t PeersAtFullRate = 4;
/// Hosts of a zone that poll an upstream when not all of them do.
constexpr std::size_t PollersPerUpstream = 2;

} // namespace

void FleetPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view Section = "fleet";
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->PollInterval = Values.span(Section, "load_poll_interval");
  this->PollTimeout = Values.span(Section, "load_poll_timeout");
  this->StaleAfter = Values.span(Section, "stale_after");
  this->RelayInterval = Values.span(Section, "relay_interval");
  this->WorkInterval = Values.span(Section, "work_interval");
  this->FullPollHosts = Values.whole(Section, "full_poll_hosts");
  this->FollowedZones = parseZones(Values.text(Section, "zones"));
  this->Table =
      UpstreamTable({this->StaleAfter, Values.span(Section, "dead_after"),
                     Values.span(Section, "unlisted_grace"),
                     Values.span(Section, "forget_after")});
  Context.services().provide<FleetView>(*this);
  Context.services().list<RequestObserver>().add(*this);
  Context.services().list<MembershipObserver>().add(*this);
  Context.services().list<StatusContributor>().add(*this);
}

void FleetPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const HostListRead &List) { this->applyHostList(List, Now); },
      [&](const LoadReported &Load) {
        this->handlePollAnswer(Load.Report, Now, Out);
      },
      [&](const LoadPollFailed &Failure) {
        this->handlePollFailure(Failure, Now);
      },
      [&](const PeerMessageReceived &Received) {
        this->handlePeerMessage(Received.Message, Now);
      },
      [](const auto &) {});
  if (Now >= this->NextPoll)
    this->poll(Now, Out);
  if (Now >= this->NextWork)
    this->sendWork(Now, Out);
  this->announceChanges(Now, Out);
}

Time FleetPlugin::nextWake() const {
  return std::min(this->NextPoll, this->NextWork);
}

void FleetPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  std::uint64_t Outstanding = 0;
  for (const Upstream &Entry : this->Table.upstreams()) {
    Outstanding += Entry.OutstandingHere;
    const std::uint32_t *Index = this->Table.position(Entry.Listing.Id);
    Monitor.require(Index && &this->Table.upstreams()[*Index] == &Entry,
                    "each upstream is found by its name");
  }
  Monitor.require(Outstanding <= this->Tracker.attempts(),
                  "no upstream is charged for an attempt that ended");
}

const Upstream *FleetPlugin::find(const UpstreamId &Id) const {
  const std::uint32_t *Index = this->Table.position(Id);
  return Index ? &this->Table.upstreams()[*Index] : nullptr;
}

void FleetPlugin::dispatched(const Request &ClientRequest,
                             const Attempt &Started, Time Now, Actions &) {
  this->Tracker.add(ClientRequest, Started);
  this->refreshWork(Started.Upstream);
  this->WorkChanged = true;
  this->NextWork = std::min(this->NextWork, Now + this->WorkInterval);
}

void FleetPlugin::firstToken(const Request &, const Attempt &Attempted, Time,
                             Actions &) {
  this->Tracker.noteFirstToken(Attempted.Id);
  this->refreshWork(Attempted.Upstream);
  this->WorkChanged = true;
}

void FleetPlugin::attemptEnded(const Request &, const Attempt &Ended,
                               const AttemptOutcome &Outcome, Time Now,
                               Actions &Out) {
  this->Tracker.remove(Ended.Id);
  this->refreshWork(Ended.Upstream);
  this->WorkChanged = true;
  const std::uint32_t *Index = this->Table.position(Ended.Upstream);
  if (!Index)
    return;
  const auto *Refused = std::get_if<AttemptRefused>(&Outcome);
  if (Refused && Refused->Reason == AttemptRefused::Why::Leaving)
    this->Table.noteLeaving(*Index, Ended.UpstreamLife,
                            ReportSource::OwnObservation, Now);
  const auto *Broken = std::get_if<AttemptBroken>(&Outcome);
  if (Broken && Broken->UpstreamDied &&
      Ended.UpstreamLife == this->Table.upstreams()[*Index].Listing.Life) {
    this->Table.noteRefused(*Index, Now);
    this->pollOne(this->Table.upstreams()[*Index], Now, Out);
  }
  this->announceChanges(Now, Out);
}

void FleetPlugin::memberChanged(const Member &Changed, Time, Actions &Out) {
  // The peer may be new, or have missed notices while it was paused or
  // partitioned.
  if (Changed.State == MemberState::Alive)
    this->sendLeavingNotices(Changed.Listing.Id, Out);
}

void FleetPlugin::sendLeavingNotices(const HostId &Peer, Actions &Out) const {
  for (const Upstream &Entry : this->Table.upstreams())
    if (Entry.State == UpstreamState::Leaving)
      Out.add(
          SendToPeer{Peer, UpstreamNotice{Entry.Listing.Id, Entry.Listing.Life,
                                          true, false}});
}

void FleetPlugin::resendLeavingToNextPeer(Actions &Out) {
  // Notices may be lost, so they are sent again to each peer in turn.
  const std::vector<HostId> Peers = this->Members->livePeers();
  if (!Peers.empty())
    this->sendLeavingNotices(Peers[this->ResendCount++ % Peers.size()], Out);
}

void FleetPlugin::contribute(StatusReport &Report, Time Now) const {
  for (const Upstream &Entry : this->Table.upstreams())
    Report.Upstreams.push_back(
        {Entry.Listing.Id, Entry.Listing.Kind, Entry.Listing.Zone,
         std::string(name(Entry.State)), Entry.Report.QueuedPrefillTokens,
         Entry.Report.FreeMemoryTokens, Entry.Report.MemoryTokens,
         Entry.Report.Running,
         Entry.ReportAt == Time{} ? Duration(0) : Now - Entry.ReportAt});
}

void FleetPlugin::applyHostList(const HostListRead &List, Time Now) {
  std::vector<UpstreamListing> Followed;
  for (const UpstreamListing &Listing : List.Upstreams)
    if (this->isFollowed(Listing))
      Followed.push_back(Listing);
  if (!this->Table.applyHostList(Followed, Now))
    return;
  for (const Upstream &Entry : this->Table.upstreams())
    this->refreshWork(Entry.Listing.Id);
  std::erase_if(this->Polls, [this](const auto &Entry) {
    return !this->Table.position(Entry.first);
  });
  this->NextPoll = Now;
}

void FleetPlugin::handlePollAnswer(const LoadReport &Report, Time Now,
                                   Actions &Out) {
  const std::uint32_t *Index = this->Table.position(Report.Id);
  if (!Index)
    return;
  this->Polls[Report.Id].PollSentAt = Never;
  this->Table.applyOwnReport(*Index, Report, Now);
  this->Tracker.noteReport(Report.Id, Report.MeasuredAt);
  this->refreshWork(Report.Id);
  if (!this->followsAll())
    this->relay(Report, Now, Out);
}

void FleetPlugin::handlePollFailure(const LoadPollFailed &Failure, Time Now) {
  const std::uint32_t *Index = this->Table.position(Failure.Upstream);
  if (!Index)
    return;
  this->Polls[Failure.Upstream].PollSentAt = Never;
  if (Failure.Refused)
    this->Table.noteRefused(*Index, Now);
}

void FleetPlugin::handlePeerMessage(const PeerMessage &Message, Time Now) {
  match(
      Message.Body,
      [&](const WorkSent &Work) {
        for (const UpstreamId &Id :
             this->Tracker.applyPeerWork(Message.From, Work, Now))
          this->refreshWork(Id);
      },
      [&](const UpstreamNotice &Notice) { this->handleNotice(Notice, Now); },
      [&](const LoadRelayed &Load) {
        const std::uint32_t *Index = this->Table.position(Load.Report.Id);
        if (!Index)
          return;
        this->Table.applyRelayedReport(*Index, Load.Report, Now);
        this->Tracker.noteReport(Load.Report.Id, Load.Report.MeasuredAt);
        this->refreshWork(Load.Report.Id);
      },
      [](const auto &) {});
}

void FleetPlugin::handleNotice(const UpstreamNotice &Notice, Time Now) {
  const std::uint32_t *Index = this->Table.position(Notice.Upstream);
  if (!Index)
    return;
  if (Notice.Leaving)
    this->Table.noteLeaving(*Index, Notice.Life, ReportSource::Peer, Now);
  if (Notice.Dead)
    this->Table.noteDead(*Index, Notice.Life, Now);
}

void FleetPlugin::relay(const LoadReport &Report, Time Now, Actions &Out) {
  const bool IsRelayer = this->Followers.ownRank(Report.Id) == 0 ||
                         this->Followers.isStandIn(Report.Id, *this->Members);
  PollRecord &Poll = this->Polls[Report.Id];
  const bool Urgent = Report.Life != Poll.Relayed.Life ||
                      Report.Leaving != Poll.Relayed.Leaving ||
                      Report.Models != Poll.Relayed.Models;
  // Half the time after which receivers treat the upstream as unknown.
  const Duration Wait = differsSignificantly(Report, Poll.Relayed)
                            ? this->RelayInterval
                            : this->StaleAfter * 3 / 2;
  if (!IsRelayer || (!Urgent && Now < Poll.RelayedAt + Wait))
    return;
  Poll.RelayedAt = Now;
  Poll.Relayed = Report;
  Poll.Relayed.Holds.clear();
  for (const HostId &Peer : this->Followers.others())
    Out.add(SendToPeer{Peer, LoadRelayed{Poll.Relayed}});
}

void FleetPlugin::poll(Time Now, Actions &Out) {
  // After a pause of this process, silence says nothing about the upstreams.
  const bool WasPaused =
      this->NextPoll != Time{} && Now > this->NextPoll + this->StaleAfter / 2;
  if (WasPaused)
    this->DetectFailuresFrom = Now + this->StaleAfter;
  this->NextPoll = Now + this->PollInterval;
  if (Now >= this->DetectFailuresFrom)
    this->Table.detectFailures(Now);
  this->resendLeavingToNextPeer(Out);
  this->Followers.update(*this->Members);
  const bool All = this->followsAll();
  for (const Upstream &Entry : this->Table.upstreams())
    if (All || this->Followers.ownRank(Entry.Listing.Id) < PollersPerUpstream)
      this->pollOne(Entry, Now, Out);
  const Time Oldest = Now - this->workSendInterval() * WorkIntervalsKept;
  for (const UpstreamId &Id : this->Tracker.expirePeerWork(Oldest))
    this->refreshWork(Id);
}

void FleetPlugin::pollOne(const Upstream &Target, Time Now, Actions &Out) {
  PollRecord &Poll = this->Polls[Target.Listing.Id];
  const bool PollPending =
      Poll.PollSentAt != Never && Now < Poll.PollSentAt + this->PollTimeout;
  if (PollPending)
    return;
  Poll.PollSentAt = Now;
  Out.add(PollLoad{Target.Listing.Id, Target.Listing.At});
}

void FleetPlugin::sendWork(Time Now, Actions &Out) {
  const bool Idle = this->Tracker.attempts() == 0 && !this->WorkChanged;
  this->NextWork = Idle ? Never : Now + this->workSendInterval();
  if (Idle)
    return;
  this->WorkChanged = false;
  const WorkSent Work = this->Tracker.ownReport(MaxWorkItems);
  for (const HostId &Peer : this->workReceivers())
    Out.add(SendToPeer{Peer, Work});
}

std::vector<HostId> FleetPlugin::workReceivers() const {
  return this->followsAll() ? this->Members->livePeers()
                            : this->Followers.others();
}

Duration FleetPlugin::workSendInterval() const {
  const std::size_t Receivers = this->workReceivers().size();
  return this->WorkInterval * std::max(Receivers, PeersAtFullRate) /
         PeersAtFullRate;
}

void FleetPlugin::refreshWork(const UpstreamId &Id) {
  const std::uint32_t *Index = this->Table.position(Id);
  if (!Index)
    return;
  Upstream &Target = this->Table.at(*Index);
  const OwnWork Own = this->Tracker.own(Id);
  Target.UnreportedPrefillTokens = Own.UnreportedPrefillTokens;
  Target.OutstandingHere = Own.Requests;
  Target.OutstandingTokensHere = Own.Tokens;
  const PeerWork Peers = this->Tracker.ofPeers(Id);
  Target.PeerPrefillTokens = Peers.PrefillTokens;
  Target.PeerRequests = Peers.Requests;
}

void FleetPlugin::announceChanges(Time Now, Actions &Out) {
  for (const UpstreamChange &Change : this->Table.takeChanges()) {
    const Upstream Changed = this->Table.upstreams()[Change.Index];
    Out.log(logEvent(events::UpstreamChanged)
                .with("upstream", Changed.Listing.Id.Value)
                .with("life", Changed.Listing.Life.Value)
                .with("state", name(Changed.State))
                .build());
    const UpstreamNotice Notice{Changed.Listing.Id, Changed.Listing.Life,
                                Changed.State == UpstreamState::Leaving,
                                Changed.State == UpstreamState::Dead};
    if (Change.NotifyPeers)
      for (const HostId &Peer : this->Members->livePeers())
        Out.add(SendToPeer{Peer, Notice});
    for (FleetObserver *Observer : this->Registry->list<FleetObserver>().all())
      Observer->upstreamChanged(Changed, Now, Out);
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
  const std::string Section = "fleet";
  return {{Section, "load_poll_interval", SettingKind::Span, "250ms",
           "How often an upstream is asked for its load.", 10e3, 60e6},
          {Section, "load_poll_timeout", SettingKind::Span, "2s",
           "An unanswered load poll is repeated after so long.", 10e3, 60e6},
          {Section, "stale_after", SettingKind::Span, "3s",
           "An upstream without a report for so long counts as unknown.", 100e3,
           600e6},
          {Section, "dead_after", SettingKind::Span, "15s",
           "An upstream without a report for so long counts as dead.", 1e6,
           3600e6},
          {Section, "unlisted_grace", SettingKind::Span, "2s",
           "An upstream out of the host list for so long gets no new work.", 0,
           600e6},
          {Section, "forget_after", SettingKind::Span, "1min",
           "An upstream out of the host list and silent for so long is "
           "forgotten.",
           1e6, 86400e6},
          {Section, "full_poll_hosts", SettingKind::Whole, "12",
           "Up to so many entry hosts, each polls every upstream; with more, "
           "two of each zone do and pass the reports on.",
           1, 1024},
          {Section, "relay_interval", SettingKind::Span, "2s",
           "How often a changed report is passed on at most.", 10e3, 60e6},
          {Section, "work_interval", SettingKind::Span, "200ms",
           "How often peers are told of work sent to upstreams.", 10e3, 10e6},
          {Section, "zones", SettingKind::Text, "",
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
