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
/// Crashes of a notice that only tells of a suspicion.
constexpr std::uint32_t SuspicionCrashes = 1;
/// End of a notice that only ends a suspicion: too old to release anything.
constexpr Time SuspicionOver{};

std::string hex(Fingerprint Content) {
  return fmt::format("{:016x}", Content.Value);
}

QuarantineNotice noticeOf(const QuarantinedContent &Decided) {
  return {Decided.Content, Decided.Crashes, Decided.Until, {}, {}};
}

} // namespace

void QuarantinePlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  SuspectPolicy Policy;
  Policy.Memory = Values.span(Section, "suspect_memory");
  Policy.IsolateUpTo = Values.whole(Section, "isolate_up_to");
  Policy.CommonCause = Values.span(Section, "common_cause");
  this->Suspects = std::make_unique<SuspectBook>(Policy);
  this->Quarantined =
      std::make_unique<QuarantineList>(Values.span(Section, "length"));
  Services &Offered = Context.services();
  this->InForce = &Offered.get<CatalogueView>();
  this->Members = &Offered.get<MembershipView>();
  this->Log = &Offered.get<LogWriter>();
  this->Numbers = &Context.random();
  Offered.provide<PoisonView>(*this);
  Offered.provide<QuarantineControl>(*this);
  Offered.list<AdmissionGate>().add(*this);
  Offered.list<RequestObserver>().add(*this);
  Offered.list<FleetObserver>().add(*this);
  Offered.list<MembershipObserver>().add(*this);
  Offered.list<LogObserver>().add(*this);
  Offered.list<StatusContributor>().add(*this);
}

void QuarantinePlugin::handle(const Event &What, Time Now, Actions &Out) {
  if (const auto *Received = std::get_if<PeerMessageReceived>(&What)) {
    const auto *Notice = std::get_if<QuarantineNotice>(&Received->Message.Body);
    if (Notice)
      this->learn(*Notice, Now, Out);
  }
  this->prune(Now);
}

bool QuarantinePlugin::isSuspect(const Request &Asked, Time Now) const {
  return this->Suspects->isIsolated(Asked.Head.Content, Now);
}

bool QuarantinePlugin::isQuarantined(Fingerprint Content, Time Now) const {
  return this->Quarantined->isQuarantined(Content, Now);
}

Duration QuarantinePlugin::spacing(const Request &Asked, Time Now) const {
  // A slot must leave most of the time that was promised.
  constexpr int Parts = 4;
  const Duration Most = std::max(Duration(0), (Asked.Deadline - Now) / Parts);
  return std::min(Most, this->Suspects->spacing(Asked.Head.Content, Now));
}

void QuarantinePlugin::release(Fingerprint Content, Time Now, Actions &Out) {
  this->Suspects->clear(Content);
  const QuarantinedContent Decided = this->Quarantined->release(Content, Now);
  Out.log(logEvent(events::QuarantineReleased)
              .with("content", hex(Content))
              .build());
  this->tellEverybody(Decided, Now, Out);
}

std::optional<NotRun> QuarantinePlugin::check(const Request &Asked, Time Now) {
  const auto Until =
      this->Quarantined->quarantinedUntil(Asked.Head.Content, Now);
  if (!Until)
    return std::nullopt;
  // Spread, so that held-back callers do not all return at the same moment.
  const Duration Left = *Until - Now;
  const Duration Spread =
      fromSeconds(inSeconds(Left) * 0.1 * this->Numbers->fraction());
  return NotRun{RefusalReason::Quarantined, Left + Spread,
                "this content crashed upstreams; change it, or ask an operator "
                "to release quarantine " +
                    hex(Asked.Head.Content)};
}

std::optional<NotRun> QuarantinePlugin::reconsider(const Request &Asked,
                                                   Time Now) {
  return this->check(Asked, Now);
}

void QuarantinePlugin::dispatched(const Request &Asked, const Attempt &Try,
                                  Time Now, Actions &Out) {
  this->Suspects->started(Asked, Try);
  if (!this->Suspects->isIsolated(Asked.Head.Content, Now))
    return;
  this->Announced.insert(Try.Id);
  this->tellWhere(Asked, Try.Upstream, Try.UpstreamLife, Now, Out);
}

void QuarantinePlugin::attemptEnded(const Request &Asked, const Attempt &Try,
                                    const AttemptOutcome &Outcome, Time Now,
                                    Actions &Out) {
  const auto *Broken = std::get_if<AttemptBroken>(&Outcome);
  if (Broken && Broken->UpstreamDied)
    this->judge(this->Suspects->diedRunning(Try, Now), Now, Out);
  this->Suspects->finished(Try.Id);
  const bool WasAnnounced = this->Announced.erase(Try.Id) > 0;
  if (std::holds_alternative<AttemptComplete>(Outcome))
    this->clear(Asked.Head.Content, Out);
  else if (WasAnnounced && this->Suspects->isSuspect(Asked.Head.Content, Now))
    this->tellWhere(Asked, UpstreamId(), Incarnation(), Now, Out);
}

void QuarantinePlugin::clear(Fingerprint Content, Actions &Out) {
  if (!this->Suspects->clear(Content))
    return;
  Out.log(
      logEvent(events::SuspectCleared).with("content", hex(Content)).build());
  for (HostId &Peer : this->Members->livePeers())
    Out.add(SendToPeer{std::move(Peer),
                       QuarantineNotice{Content, 0, SuspicionOver, {}, {}}});
}

void QuarantinePlugin::upstreamChanged(const Upstream &Changed, Time Now,
                                       Actions &Out) {
  if (Changed.State != UpstreamState::Dead)
    return;
  this->judge(
      this->Suspects->died(Changed.Listing.Id, Changed.Listing.Life, Now), Now,
      Out);
}

void QuarantinePlugin::memberChanged(const Member &Changed, Time Now,
                                     Actions &Out) {
  if (Changed.State != MemberState::Alive)
    return;
  const HostId &Peer = Changed.Listing.Id;
  if (const auto Found = this->Briefed.find(Peer);
      Found != this->Briefed.end() && Found->second == Changed.Life)
    return;
  this->Briefed[Peer] = Changed.Life;
  for (const QuarantinedContent &Each : this->Quarantined->all(Now))
    Out.add(SendToPeer{Peer, noticeOf(Each)});
}

void QuarantinePlugin::recordRead(const StoredRecord &Read, Time Now,
                                  Actions &Out) {
  const auto *Found = std::get_if<QuarantineRecord>(&Read.Record.Body);
  if (Found)
    this->learn({Found->Content, Found->Crashes, Found->Until, {}, {}}, Now,
                Out);
}

void QuarantinePlugin::appendSettled(const RecordId &Id, bool Taken, Time Now,
                                     Actions &Out) {
  const auto Found = this->Appends.find(Id);
  if (Found == this->Appends.end())
    return;
  const QuarantinedContent Decided = Found->second;
  this->Appends.erase(Found);
  const bool IsRelease = Decided.Crashes == 0;
  if (!Taken && (IsRelease || Decided.Until > Now))
    this->record(Decided, Now, Out);
}

void QuarantinePlugin::contribute(StatusReport &Report, Time Now) const {
  for (const QuarantinedContent &Each : this->Quarantined->all(Now))
    Report.Quarantined.push_back({Each.Content, Each.Crashes, Each.Until});
}

void QuarantinePlugin::judge(std::span<const Suspected> Accused, Time Now,
                             Actions &Out) {
  for (const Suspected &Each : Accused) {
    if (Each.IsCondemned) {
      this->quarantine(Each, Now, Out);
      continue;
    }
    Out.count("suspects", Each.IsIsolated ? "isolated" : "spread");
    Out.log(logEvent(events::ContentSuspected)
                .with("content", hex(Each.Content))
                .with("deaths", Each.Deaths)
                .with("isolated", Each.IsIsolated ? "yes" : "no")
                .build());
    this->tellTeamHosts(Each.Team,
                        {Each.Content, SuspicionCrashes, Now, {}, {}}, Out);
  }
}

void QuarantinePlugin::quarantine(const Suspected &Condemned, Time Now,
                                  Actions &Out) {
  this->Suspects->clear(Condemned.Content);
  const QuarantinedContent Decided =
      this->Quarantined->add(Condemned.Content, Condemned.Deaths, Now);
  Out.count("quarantines");
  Out.log(logEvent(events::ContentQuarantined)
              .with("content", hex(Condemned.Content))
              .with("team", Condemned.Team.Value)
              .with("deaths", Condemned.Deaths)
              .build());
  this->tellEverybody(Decided, Now, Out);
}

void QuarantinePlugin::learn(const QuarantineNotice &Notice, Time Now,
                             Actions &Out) {
  if (Notice.Crashes == SuspicionCrashes) {
    this->Suspects->learn(Notice.Content, Now);
    if (Notice.Upstream.Value.empty())
      this->Suspects->endedElsewhere(Notice.Content, Now);
    else
      this->Suspects->learnWhere(Notice.Content, Notice.Upstream, Now);
    return;
  }
  this->Suspects->clear(Notice.Content);
  const bool IsNews = this->Quarantined->merge(
      {Notice.Content, Notice.Crashes, Notice.Until}, Now);
  if (IsNews && Notice.Crashes > 0)
    Out.log(logEvent(events::QuarantineLearnt)
                .with("content", hex(Notice.Content))
                .with("deaths", Notice.Crashes)
                .build());
}

void QuarantinePlugin::tellWhere(const Request &Asked,
                                 const UpstreamId &Upstream, Incarnation Life,
                                 Time Now, Actions &Out) const {
  const QuarantineNotice Notice{Asked.Head.Content, SuspicionCrashes, Now,
                                Upstream, Life};
  for (HostId &Peer : this->Members->livePeers())
    Out.add(SendToPeer{std::move(Peer), Notice});
}

void QuarantinePlugin::tellTeamHosts(const TeamId &Team,
                                     const QuarantineNotice &Notice,
                                     Actions &Out) const {
  const ServingHosts Serving(this->InForce->catalogue(), *this->Members);
  for (HostId &Peer : Serving.peersOf(Team))
    Out.add(SendToPeer{std::move(Peer), Notice});
}

void QuarantinePlugin::tellEverybody(const QuarantinedContent &Decided,
                                     Time Now, Actions &Out) {
  for (HostId &Peer : this->Members->livePeers())
    Out.add(SendToPeer{std::move(Peer), noticeOf(Decided)});
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
  const std::string In(Section);
  return {
      {In, "length", SettingKind::Span, "30min",
       "How long content that crashed upstreams is refused; the same on all "
       "hosts.",
       1e6, 86400e6},
      {In, "suspect_memory", SettingKind::Span, "10min",
       "How long content that ran on an upstream that died is suspected.", 1e6,
       86400e6},
      {In, "isolate_up_to", SettingKind::Whole, "4",
       "With at most this many contents running on an upstream that died, each "
       "is kept apart at its next try.",
       1, 1000},
      {In, "common_cause", SettingKind::Span, "2s",
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
