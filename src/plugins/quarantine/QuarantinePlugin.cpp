#include "plugins/quarantine/QuarantinePlugin.h"

#include "base/EventNumbers.h"
#include "kernel/PluginRegistry.h"
#include "kernel/ServingHosts.h"

#include <algorithm>
#include <fmt/format.h>

namespace banyanpick {

namespace {

constexpr std::string_view Section = "quarantine";
constexpr Duration PruneInterval = seconds(10);
/// Value of Crashes in a notice that only reports a suspicion.
constexpr std::uint32_t SuspicionCrashes = 1;
/// Value of Until in a notice that only ends a suspicion. It is too old to
/// release a quarantine.
constexpr Time SuspicionEnded{};

std::string hex(Fingerprint Content) {
  return fmt::format("{:016x}", Content.Value);
}

QuarantineNotice makeNotice(const QuarantinedContent &Decided) {
  return {Decided.Content, Decided.Crashes, Decided.Until, {}, {}};
}

} // namespace

void QuarantinePlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  SuspectPolicy Policy;
  Policy.Retention = Values.span(Section, "suspect_memory");
  Policy.IsolateUpTo = Values.whole(Section, "isolate_up_to");
  Policy.CommonCause = Values.span(Section, "common_cause");
  this->Suspects = std::make_unique<SuspectTracker>(Policy);
  this->Quarantined =
      std::make_unique<QuarantineList>(Values.span(Section, "length"));
  Services &Registry = Context.services();
  this->CatalogueInForce = &Registry.get<CatalogueView>();
  this->Members = &Registry.get<MembershipView>();
  this->Log = &Registry.get<LogWriter>();
  this->Rng = &Context.random();
  Registry.provide<QuarantineView>(*this);
  Registry.provide<QuarantineControl>(*this);
  Registry.list<AdmissionGate>().add(*this);
  Registry.list<RequestObserver>().add(*this);
  Registry.list<FleetObserver>().add(*this);
  Registry.list<MembershipObserver>().add(*this);
  Registry.list<LogObserver>().add(*this);
  Registry.list<StatusContributor>().add(*this);
}

void QuarantinePlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  if (const auto *Received = std::get_if<PeerMessageReceived>(&Incoming)) {
    const auto *Notice = std::get_if<QuarantineNotice>(&Received->Message.Body);
    if (Notice)
      this->handleNotice(*Notice, Now, Out);
  }
  this->prune(Now);
}

bool QuarantinePlugin::isSuspect(const Request &Req, Time Now) const {
  return this->Suspects->isIsolated(Req.Head.Content, Now);
}

bool QuarantinePlugin::isQuarantined(Fingerprint Content, Time Now) const {
  return this->Quarantined->isQuarantined(Content, Now);
}

Duration QuarantinePlugin::spacing(const Request &Req, Time Now) const {
  // The spacing must leave most of the time until the deadline.
  constexpr int DeadlineParts = 4;
  const Duration MaxSpacing =
      std::max(Duration(0), (Req.Deadline - Now) / DeadlineParts);
  return std::min(MaxSpacing, this->Suspects->spacing(Req.Head.Content, Now));
}

void QuarantinePlugin::release(Fingerprint Content, Time Now, Actions &Out) {
  this->Suspects->clear(Content);
  const QuarantinedContent Decided = this->Quarantined->release(Content, Now);
  Out.log(logEvent(events::QuarantineReleased)
              .with("content", hex(Content))
              .build());
  this->publishDecision(Decided, Now, Out);
}

std::optional<NotRun> QuarantinePlugin::check(const Request &Req, Time Now) {
  const auto Until = this->Quarantined->quarantinedUntil(Req.Head.Content, Now);
  if (!Until)
    return std::nullopt;
  // Adds random jitter, so that refused callers do not all retry at the same
  // time.
  const Duration Remaining = *Until - Now;
  const Duration Spread =
      fromSeconds(inSeconds(Remaining) * 0.1 * this->Rng->fraction());
  return NotRun{RefusalReason::Quarantined, Remaining + Spread,
                "this content crashed upstreams; change it, or ask an operator "
                "to release quarantine " +
                    hex(Req.Head.Content)};
}

std::optional<NotRun> QuarantinePlugin::reconsider(const Request &Req,
                                                   Time Now) {
  return this->check(Req, Now);
}

void QuarantinePlugin::dispatched(const Request &Req,
                                  const Attempt &SentAttempt, Time Now,
                                  Actions &Out) {
  this->Suspects->attemptStarted(Req, SentAttempt);
  if (!this->Suspects->isIsolated(Req.Head.Content, Now))
    return;
  this->AnnouncedAttempts.insert(SentAttempt.Id);
  this->sendSuspectLocation(Req, SentAttempt.Upstream, SentAttempt.UpstreamLife,
                            Now, Out);
}

void QuarantinePlugin::attemptEnded(const Request &Req,
                                    const Attempt &SentAttempt,
                                    const AttemptOutcome &Outcome, Time Now,
                                    Actions &Out) {
  const auto *Broken = std::get_if<AttemptBroken>(&Outcome);
  if (Broken && Broken->UpstreamDied)
    this->handleSuspects(this->Suspects->attemptBroken(SentAttempt, Now), Now,
                         Out);
  this->Suspects->attemptFinished(SentAttempt.Id);
  const bool WasAnnounced = this->AnnouncedAttempts.erase(SentAttempt.Id) > 0;
  if (std::holds_alternative<AttemptComplete>(Outcome))
    this->clear(Req.Head.Content, Out);
  else if (WasAnnounced && this->Suspects->isSuspect(Req.Head.Content, Now))
    this->sendSuspectLocation(Req, UpstreamId(), Incarnation(), Now, Out);
}

void QuarantinePlugin::clear(Fingerprint Content, Actions &Out) {
  if (!this->Suspects->clear(Content))
    return;
  Out.log(
      logEvent(events::SuspectCleared).with("content", hex(Content)).build());
  for (HostId &Peer : this->Members->livePeers())
    Out.add(SendToPeer{std::move(Peer),
                       QuarantineNotice{Content, 0, SuspicionEnded, {}, {}}});
}

void QuarantinePlugin::upstreamChanged(const Upstream &Changed, Time Now,
                                       Actions &Out) {
  if (Changed.State != UpstreamState::Dead)
    return;
  this->handleSuspects(this->Suspects->upstreamDied(Changed.Listing.Id,
                                                    Changed.Listing.Life, Now),
                       Now, Out);
}

void QuarantinePlugin::memberChanged(const Member &Changed, Time Now,
                                     Actions &Out) {
  if (Changed.State != MemberState::Alive)
    return;
  const HostId &Peer = Changed.Listing.Id;
  if (const auto Found = this->NotifiedPeers.find(Peer);
      Found != this->NotifiedPeers.end() && Found->second == Changed.Life)
    return;
  this->NotifiedPeers[Peer] = Changed.Life;
  for (const QuarantinedContent &Item : this->Quarantined->all(Now))
    Out.add(SendToPeer{Peer, makeNotice(Item)});
}

void QuarantinePlugin::recordRead(const StoredRecord &Stored, Time Now,
                                  Actions &Out) {
  const auto *Found = std::get_if<QuarantineRecord>(&Stored.Record.Body);
  if (Found)
    this->handleNotice({Found->Content, Found->Crashes, Found->Until, {}, {}},
                       Now, Out);
}

void QuarantinePlugin::appendSettled(const RecordId &Id, bool IsAppended,
                                     Time Now, Actions &Out) {
  const auto Found = this->Appends.find(Id);
  if (Found == this->Appends.end())
    return;
  const QuarantinedContent Decided = Found->second;
  this->Appends.erase(Found);
  const bool IsRelease = Decided.Crashes == 0;
  if (!IsAppended && (IsRelease || Decided.Until > Now))
    this->record(Decided, Now, Out);
}

void QuarantinePlugin::contribute(StatusReport &Report, Time Now) const {
  for (const QuarantinedContent &Item : this->Quarantined->all(Now))
    Report.Quarantined.push_back({Item.Content, Item.Crashes, Item.Until});
}

void QuarantinePlugin::handleSuspects(std::span<const Suspected> NewSuspects,
                                      Time Now, Actions &Out) {
  for (const Suspected &Suspect : NewSuspects) {
    if (Suspect.IsCause) {
      this->quarantine(Suspect, Now, Out);
      continue;
    }
    Out.count("suspects", Suspect.IsIsolated ? "isolated" : "spread");
    Out.log(logEvent(events::ContentSuspected)
                .with("content", hex(Suspect.Content))
                .with("deaths", Suspect.Deaths)
                .with("isolated", Suspect.IsIsolated ? "yes" : "no")
                .build());
    this->notifyTeamHosts(
        Suspect.Team, {Suspect.Content, SuspicionCrashes, Now, {}, {}}, Out);
  }
}

void QuarantinePlugin::quarantine(const Suspected &Suspect, Time Now,
                                  Actions &Out) {
  this->Suspects->clear(Suspect.Content);
  const QuarantinedContent Decided =
      this->Quarantined->add(Suspect.Content, Suspect.Deaths, Now);
  Out.count("quarantines");
  Out.log(logEvent(events::ContentQuarantined)
              .with("content", hex(Suspect.Content))
              .with("team", Suspect.Team.Value)
              .with("deaths", Suspect.Deaths)
              .build());
  this->publishDecision(Decided, Now, Out);
}

void QuarantinePlugin::handleNotice(const QuarantineNotice &Notice, Time Now,
                                    Actions &Out) {
  if (Notice.Crashes == SuspicionCrashes) {
    this->Suspects->addSuspect(Notice.Content, Now);
    if (Notice.Upstream.Value.empty())
      this->Suspects->endPeerRun(Notice.Content, Now);
    else
      this->Suspects->setPeerRun(Notice.Content, Notice.Upstream, Now);
    return;
  }
  this->Suspects->clear(Notice.Content);
  const bool HasChanged = this->Quarantined->merge(
      {Notice.Content, Notice.Crashes, Notice.Until}, Now);
  if (HasChanged && Notice.Crashes > 0)
    Out.log(logEvent(events::QuarantineLearnt)
                .with("content", hex(Notice.Content))
                .with("deaths", Notice.Crashes)
                .build());
}

void QuarantinePlugin::sendSuspectLocation(const Request &Req,
                                           const UpstreamId &Upstream,
                                           Incarnation Life, Time Now,
                                           Actions &Out) const {
  const QuarantineNotice Notice{Req.Head.Content, SuspicionCrashes, Now,
                                Upstream, Life};
  for (HostId &Peer : this->Members->livePeers())
    Out.add(SendToPeer{std::move(Peer), Notice});
}

void QuarantinePlugin::notifyTeamHosts(const TeamId &Team,
                                       const QuarantineNotice &Notice,
                                       Actions &Out) const {
  const ServingHosts Serving(this->CatalogueInForce->catalogue(),
                             *this->Members);
  for (HostId &Peer : Serving.peersOf(Team))
    Out.add(SendToPeer{std::move(Peer), Notice});
}

void QuarantinePlugin::publishDecision(const QuarantinedContent &Decided,
                                       Time Now, Actions &Out) {
  for (HostId &Peer : this->Members->livePeers())
    Out.add(SendToPeer{std::move(Peer), makeNotice(Decided)});
  this->record(Decided, Now, Out);
}

void QuarantinePlugin::record(const QuarantinedContent &Decided, Time Now,
                              Actions &Out) {
  const RecordId Id = this->Log->append(
      QuarantineRecord{Decided.Content, Decided.Crashes, Decided.Until}, Now,
      Out);
  this->Appends[Id] = Decided;
}

void QuarantinePlugin::prune(Time Now) {
  if (Now - this->PrunedAt < PruneInterval)
    return;
  this->PrunedAt = Now;
  this->Suspects->prune(Now);
  this->Quarantined->prune(Now);
}

std::vector<SettingDeclaration> QuarantinePlugin::settings() {
  const std::string SectionName(Section);
  return {
      {SectionName, "length", SettingKind::Span, "30min",
       "How long content that crashed upstreams is refused; the same on all "
       "hosts.",
       1e6, 86400e6},
      {SectionName, "suspect_memory", SettingKind::Span, "10min",
       "How long content that ran on an upstream that died is suspected.", 1e6,
       86400e6},
      {SectionName, "isolate_up_to", SettingKind::Whole, "4",
       "With at most this many contents running on an upstream that died, each "
       "is kept apart at its next try.",
       1, 1000},
      {SectionName, "common_cause", SettingKind::Span, "2s",
       "Deaths of upstreams nearer than this may have one cause outside them.",
       0, 600e6},
  };
}

namespace {

const PluginRegistration
    Registration({"quarantine",
                  {"catalogue", "log", "membership"},
                  QuarantinePlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<QuarantinePlugin>();
                  }});

} // namespace

} // namespace banyanpick
