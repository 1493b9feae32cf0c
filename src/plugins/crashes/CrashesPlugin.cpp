#include "plugins/crashes/CrashesPlugin.h"

#include "base/EventNumbers.h"
#include "base/RendezvousHash.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "kernel/ReportRequest.h"

#include <algorithm>
#include <utility>

namespace banyanpick {

namespace {

/// An engine that crashes at a content does so soon after it began to answer.
/// An attempt that has been answered for longer is not the cause.
constexpr seconds MaxCrashDelay(1);

/// Hosts that tell a new incarnation of the known crashes. If all did, the
/// messages to it would grow with the hosts.
constexpr std::size_t MaxInformers = 8;

/// Delay of the first reminder to a host that has just started; each following
/// one is double. With the last one a host on a busy machine is connected.
constexpr milliseconds FirstReminderDelay(200);
constexpr milliseconds LastReminderDelay(1600);

/// Returns the contents of the attempt: the whole request and the parts of its
/// prompt.
std::vector<Fingerprint> contentsOf(const RelayAttempt &Attempt) {
  std::vector<Fingerprint> Result = Attempt.PromptParts;
  Result.push_back(Attempt.Content);
  return Result;
}

/// Returns the notice of a quarantine that was read from the store. The store
/// does not keep which engines crashed.
QuarantineNotice makeStoredNotice(Fingerprint Content, Time Until) {
  QuarantineNotice Result;
  Result.Content = Content;
  Result.Until = Until;
  return Result;
}

QuarantineNotice makeNotice(const Crash &Observed, Time Until) {
  QuarantineNotice Result;
  Result.Content = Observed.Content;
  Result.Crashes = 1;
  Result.Until = Until;
  Result.Upstream = Observed.Engine;
  return Result;
}

} // namespace

void CrashesPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view SectionName = "crashes";
  this->Registry = &Context.services();
  this->Own = Context.self().Host;
  this->Members = &Context.services().get<MembershipView>();
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Gate = &Context.services().get<EngineGate>();
  this->Quota = &Context.services().get<EngineQuota>();
  this->Reach = &Context.services().get<EngineReachView>();
  this->SuspicionLifetime = Values.span(SectionName, "suspect_for");
  this->RetentionTime = Values.span(SectionName, "keep_for");
  this->Check = DeathCheck(Values.span(SectionName, "verify_interval"));
  this->Tracker = CrashTracker({Values.whole(SectionName, "most"),
                                this->SuspicionLifetime, this->RetentionTime,
                                Values.span(SectionName, "harmless_for")});
  Context.services().provide<CrashView>(*this);
  Context.services().list<RelayObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
  Context.services().list<MembershipObserver>().add(*this);
}

void CrashesPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const PeerMessageReceived &Received) {
        match(
            Received.Message.Body,
            [&](const QuarantineNotice &Notice) {
              this->takeNotice(Notice, Received.Message.From, Now, Out);
            },
            [&](const HarmlessContent &Cleared) {
              if (this->Tracker.takeHarmless(Cleared.Content,
                                             Now - Cleared.BeganAgo, Now))
                this->endQuarantine(Cleared.Content, Out);
            },
            [](const auto &) {});
      },
      [&](const GatewayEvent &Change) {
        this->takeReport(Change, Now, Out);
        if (const auto *Read = std::get_if<QuarantinesRead>(&Change))
          this->restore(*Read, Now, Out);
      },
      [](const auto &) {});
  this->verifyRefusals(Now, Out);
  this->sendReminders(Now, Out);
  for (const UpstreamId &Engine : this->Check.takeDue(Now))
    this->askWhetherAlive(Engine, Now, Out);
}

void CrashesPlugin::takeNotice(const QuarantineNotice &Notice,
                               const HostId &From, Time Now, Actions &Out) {
  if (Notice.Upstream.Value.empty()) {
    this->restore(Notice.Content, Now, Out);
    return;
  }
  const Crash Observed{Notice.Content, Notice.Upstream};
  if (!this->Tracker.add(Observed, Now))
    return;
  this->log(Observed, From.Value, Duration(0), Out);
  this->tellHarmless(Observed.Content, Now, Out);
  this->noteQuarantine(Observed.Content, Now, Out);
  // The peer knows that the engine has died. What this host lost there is
  // confirmed too, although its own requests for a report may be unanswered.
  this->confirm(Notice.Upstream, Now, Out);
}

void CrashesPlugin::takeReport(const GatewayEvent &Answer, Time Now,
                               Actions &Out) {
  if (const auto *Reported = std::get_if<EngineReported>(&Answer))
    this->Check.remove(Reported->Report.Engine);
  const auto *Failed = std::get_if<EngineReportFailed>(&Answer);
  if (!Failed)
    return;
  if (Failed->Refused)
    this->refused(Failed->Engine, Now, Out);
  else
    this->Check.reportLost(Failed->Engine, Now);
}

bool CrashesPlugin::isQuarantined(Fingerprint Content, Time) const {
  return this->Tracker.isQuarantined(Content);
}

void CrashesPlugin::attemptEnded(const RelayAttempt &Attempt,
                                 const RelayOutcome &Outcome, Time Now,
                                 Actions &Out) {
  match(
      Outcome,
      [&](const RelayBroken &Broken) {
        if (Broken.Reason == RelayBroken::Why::Reset)
          this->suspect(Attempt, Now, Out);
      },
      // The end of the connection may be the end of the answer or of the
      // engine.
      [&](const RelayDelivered &Delivered) {
        if (Delivered.End == RelayDelivered::Ending::Explicit)
          this->clear(Attempt, Now, Out);
        else if (Delivered.End == RelayDelivered::Ending::Connection)
          this->suspect(Attempt, Now, Out);
      },
      // A process that does not accept connections has died, with the requests
      // that recently ran there, unless this host's own links fail. No other
      // reason for not sending shows that.
      [&](const RelayNeverSent &NeverSent) {
        if (NeverSent.Reason == RelayNeverSent::Why::Refused)
          this->refused(Attempt.Engine, Now, Out);
      },
      // Another engine has the address, so the one that had it has died.
      [&](const RelayNotRun &NotRun) {
        if (NotRun.OtherEngine)
          this->confirm(faultyEngine(NotRun, Attempt.Engine, Attempt.Helpers),
                        Now, Out);
      },
      [](const auto &) {});
}

void CrashesPlugin::suspect(const RelayAttempt &Attempt, Time Now,
                            Actions &Out) {
  this->Tracker.addSuspicion({Attempt.Content, Attempt.Engine}, Now);
  const bool IsCause =
      !Attempt.Began || Now < Attempt.BeganAt + Duration(MaxCrashDelay);
  if (IsCause)
    for (const Fingerprint &Part : Attempt.PromptParts)
      this->Tracker.addSuspicion({Part, Attempt.Engine}, Now);
  if (this->Check.connectionLost(Attempt.Engine, Now))
    this->askWhetherAlive(Attempt.Engine, Now, Out);
}

void CrashesPlugin::clear(const RelayAttempt &Attempt, Time Now, Actions &Out) {
  const Time BeganAt = Attempt.Began ? Attempt.BeganAt : Now;
  for (const Fingerprint &Content : contentsOf(Attempt)) {
    if (this->Tracker.noteHarmless(Content, BeganAt, Now))
      this->endQuarantine(Content, Out);
    this->tellHarmless(Content, Now, Out);
  }
}

void CrashesPlugin::endQuarantine(Fingerprint Content, Actions &Out) {
  this->StoredContents.erase(Content);
  Out.count("quarantines_refuted");
  Out.log(logEvent(events::QuarantineRefuted)
              .with("content", Content.Value)
              .build());
  Out.add(GatewayAction(StoreQuarantine{Content, false}));
}

void CrashesPlugin::tellHarmless(Fingerprint Content, Time Now, Actions &Out) {
  const std::optional<Time> BeganAt = this->Tracker.takeHarmlessToTell(Content);
  if (!BeganAt)
    return;
  for (const HostId &Peer : this->Members->livePeers())
    Out.add(SendToPeer{Peer, HarmlessContent{Content, Now - *BeganAt}});
}

void CrashesPlugin::askWhetherAlive(const UpstreamId &Engine, Time Now,
                                    Actions &Out) const {
  requestReport(Engine, *this->Directory, *this->Gate, *this->Quota, Now, Out);
}

void CrashesPlugin::engineRemoved(const UpstreamId &Id, Time Now,
                                  Actions &Out) {
  this->confirm(Id, Now, Out);
  this->removeExpired(Now, Out);
}

void CrashesPlugin::removeExpired(Time Now, Actions &Out) {
  const std::vector<Fingerprint> Released = this->Tracker.removeExpired(Now);
  for (const Fingerprint &Content : Released)
    this->StoredContents.erase(Content);
  // All hosts forget it at about the same time, and one removal is enough.
  const std::vector<HostId> Peers = this->Members->livePeers();
  const bool IsFirst = std::ranges::all_of(
      Peers, [&](const HostId &Peer) { return this->Own < Peer; });
  if (!IsFirst)
    return;
  for (const Fingerprint &Content : Released)
    Out.add(GatewayAction(StoreQuarantine{Content, false}));
}

void CrashesPlugin::restore(const QuarantinesRead &Read, Time Now,
                            Actions &Out) {
  for (const Fingerprint &Content : Read.Contents) {
    this->restore(Content, Now, Out);
    this->StoredContents.insert(Content);
    for (const HostId &Peer : this->Members->livePeers())
      Out.add(SendToPeer{Peer,
                         makeStoredNotice(Content, Now + this->RetentionTime)});
  }
  for (const HostId &Peer : this->Members->livePeers())
    this->remindLater(Peer, FirstReminderDelay, Now);
}

void CrashesPlugin::restore(Fingerprint Content, Time Now, Actions &Out) {
  if (this->Tracker.isQuarantined(Content))
    return;
  this->Tracker.restore(Content, Now);
  Out.log(logEvent(events::QuarantineRestored)
              .with("content", Content.Value)
              .build());
  this->noteQuarantine(Content, Now, Out);
}

bool CrashesPlugin::informs(const HostId &Newcomer) const {
  const auto WeightOf = [&](const HostId &Host) {
    return rendezvousWeight(Newcomer.Value, Host.Value);
  };
  const std::uint64_t OwnWeight = WeightOf(this->Own);
  const std::vector<HostId> Peers = this->Members->livePeers();
  const auto Preferred = std::ranges::count_if(Peers, [&](const HostId &Peer) {
    return Peer != Newcomer && WeightOf(Peer) > OwnWeight;
  });
  return static_cast<std::size_t>(Preferred) < MaxInformers;
}

void CrashesPlugin::memberChanged(const Member &Changed, Time Now,
                                  Actions &Out) {
  Incarnation &Informed = this->InformedIncarnations[Changed.Listing.Id];
  const bool IsNew = Changed.Life != Incarnation() && Changed.Life != Informed;
  if (!IsNew || Changed.State != MemberState::Alive)
    return;
  Informed = Changed.Life;
  this->inform(Changed.Listing.Id, Now, Out);
  this->remindLater(Changed.Listing.Id, FirstReminderDelay, Now);
}

void CrashesPlugin::inform(const HostId &Host, Time Now, Actions &Out) {
  const Time Until = Now + this->RetentionTime;
  for (const Fingerprint &Content : this->StoredContents)
    Out.add(SendToPeer{Host, makeStoredNotice(Content, Until)});
  const std::vector<Crash> Crashes = this->Tracker.confirmedCrashes();
  if (Crashes.empty() || !this->informs(Host))
    return;
  for (const Crash &Observed : Crashes)
    Out.add(SendToPeer{Host, makeNotice(Observed, Until)});
}

void CrashesPlugin::remindLater(const HostId &Host, Duration Delay, Time Now) {
  this->Reminders[Host] = {Now + Delay, Delay};
  this->NextReminder = std::min(this->NextReminder, Now + Delay);
}

void CrashesPlugin::sendReminders(Time Now, Actions &Out) {
  if (Now < this->NextReminder)
    return;
  this->NextReminder = Never;
  const auto Pending = std::exchange(this->Reminders, {});
  for (const auto &[Host, Due] : Pending) {
    if (Now < Due.At) {
      this->Reminders[Host] = Due;
      this->NextReminder = std::min(this->NextReminder, Due.At);
      continue;
    }
    this->inform(Host, Now, Out);
    if (Due.Delay < LastReminderDelay)
      this->remindLater(Host, 2 * Due.Delay, Now);
  }
}

void CrashesPlugin::confirm(const UpstreamId &Engine, Time Now, Actions &Out) {
  this->Check.remove(Engine);
  const std::vector<ConfirmedCrash> Crashes =
      this->Tracker.confirm(Engine, Now);
  if (!Crashes.empty())
    this->Reach->engineDied(Engine);
  for (const auto &[Observed, SuspectedFor] : Crashes) {
    this->log(Observed, "here", SuspectedFor, Out);
    this->tellHarmless(Observed.Content, Now, Out);
    this->noteQuarantine(Observed.Content, Now, Out);
    for (const HostId &Peer : this->Members->livePeers())
      Out.add(
          SendToPeer{Peer, makeNotice(Observed, Now + this->RetentionTime)});
  }
}

void CrashesPlugin::refused(const UpstreamId &Engine, Time Now, Actions &Out) {
  if (this->isOutOfReach(Engine, Now))
    this->Refusals.try_emplace(Engine, Now);
  else
    this->confirm(Engine, Now, Out);
}

void CrashesPlugin::verifyRefusals(Time Now, Actions &Out) {
  for (auto Next = this->Refusals.begin(); Next != this->Refusals.end();) {
    const auto &[Engine, At] = *Next;
    const bool IsTooOld = Now >= At + this->SuspicionLifetime;
    if (!IsTooOld && this->isOutOfReach(Engine, Now)) {
      ++Next;
      continue;
    }
    // A refused answer may make the service look out of reach again, so the
    // number of requests is bounded.
    if (!IsTooOld && this->Check.connectionLost(Engine, Now))
      this->askWhetherAlive(Engine, Now, Out);
    Next = this->Refusals.erase(Next);
  }
}

bool CrashesPlugin::isOutOfReach(const UpstreamId &Engine, Time Now) const {
  const RegisteredEngine *Registered = this->Directory->find(Engine);
  return Registered && this->Reach->isCutOff(Registered->Record.Service, Now);
}

void CrashesPlugin::noteQuarantine(Fingerprint Content, Time Now,
                                   Actions &Out) {
  if (!this->Tracker.isQuarantined(Content))
    return;
  for (QuarantineObserver *Observer :
       this->Registry->list<QuarantineObserver>().all())
    Observer->contentQuarantined(Content, Now, Out);
  // Each host that confirmed a crash of the content stores the quarantine. One
  // of them would not suffice: where crashes are confirmed at the same moment,
  // every host learns of the last one from a peer.
  if (this->Tracker.takeToStore(Content))
    Out.add(GatewayAction(StoreQuarantine{Content, true}));
}

void CrashesPlugin::log(const Crash &Observed, std::string_view From,
                        Duration SuspectedFor, Actions &Out) const {
  Out.count("content_crashes");
  Out.log(logEvent(events::ContentCrashed)
              .with("content", Observed.Content.Value)
              .with("engine", Observed.Engine.Value)
              .with("crashes", this->Tracker.crashCount(Observed.Content))
              .with("quarantined", this->Tracker.isQuarantined(Observed.Content)
                                       ? "true"
                                       : "false")
              .with("from", From)
              .with("suspected_us", SuspectedFor.count())
              .build());
}

std::vector<SettingDeclaration> CrashesPlugin::settings() {
  const std::string SectionName = "crashes";
  return {
      {SectionName, "most", SettingKind::Whole, "3",
       "A content, a whole request or a part of prompts, that crashed so many "
       "upstreams is not run any more.",
       2, 100},
      {SectionName, "suspect_for", SettingKind::Span, "6s",
       "A connection lost is taken for a crash if the upstream's death shows "
       "within so long: three missed renewals of its registration and a "
       "margin.",
       100e3, 60e6},
      {SectionName, "verify_interval", SettingKind::Span, "100ms",
       "An engine that loses connections is asked for a report no more often; "
       "one that refuses the connection has crashed.",
       1e3, 60e6},
      {SectionName, "harmless_for", SettingKind::Span, "3s",
       "For so long after the begin of an answer that was completed, its "
       "contents are not taken for the cause of a crash.",
       0, 60e6},
      {SectionName, "keep_for", SettingKind::Span, "10min",
       "How long a content is remembered after its last crash.", 1e6, 86400e6},
  };
}

namespace {

const PluginRegistration
    Registration({"crashes",
                  {"engine_limits", "engine_reach", "engine_signals", "engines",
                   "membership"},
                  CrashesPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<CrashesPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
