#include "plugins/crashes/CrashesPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "kernel/ReportRequest.h"
#include "plugins/crashes/CrashNotices.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// How long a request waits for the decision on a suspected content.
constexpr seconds MaxDecisionTime(3);

std::string_view nameOf(CrashVerdict Verdict) {
  switch (Verdict) {
  case CrashVerdict::Sound:
    return "sound";
  case CrashVerdict::Suspected:
    return "suspected";
  case CrashVerdict::Proven:
    return "proven";
  }
  return "";
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
              this->takeHarmless(Cleared, Now, Out);
            },
            [](const auto &) {});
      },
      [&](const GatewayEvent &Change) {
        this->takeReport(Change, Now, Out);
        if (const auto *Read = std::get_if<QuarantinesRead>(&Change))
          this->restore(*Read, Now, Out);
      },
      [](const auto &) {});
  this->clearRunningAnswers(Now, Out);
  this->verifyRefusals(Now, Out);
  this->sendReminders(Now, Out);
  for (const UpstreamId &Engine : this->Check.takeDue(Now))
    this->askWhetherAlive(Engine, Now, Out);
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

Time CrashesPlugin::nextWake() const {
  const Time Due = std::min(this->Check.nextDue(), this->NextReminder);
  // Running answers matter only while there are crashes that they may refute.
  return this->Tracker.isEmpty() ? Due : std::min(Due, this->Answers.nextDue());
}

ContentDecision CrashesPlugin::decide(const RelayHead &Head, Time Now) {
  if (this->Tracker.isEmpty())
    return ContentDecision::Send;
  ProbeRequest Probe;
  Probe.Request = Head.Id;
  bool IsProven = false;
  const auto Judge = [&](Fingerprint Content) {
    const Judgement Found = this->Tracker.judge(Content);
    if (Found.Verdict != CrashVerdict::Sound)
      Probe.Suspects.push_back(Content);
    else if (Found.Crashes > 0)
      ++Probe.Others;
    IsProven = IsProven || Found.Verdict == CrashVerdict::Proven;
  };
  std::ranges::for_each(Head.PromptParts, Judge);
  Judge(Head.Content);
  if (Probe.Suspects.empty())
    return ContentDecision::Send;
  const std::size_t Others = Probe.Suspects.size() - 1 + Probe.Others;
  for (const Fingerprint &Content : Probe.Suspects)
    Probe.EarliestAt =
        std::max(Probe.EarliestAt, this->Tracker.nextProbeAt(Content, Others));
  if (this->Probes.claim(Probe, this->Own, this->Members->livePeers(), Now))
    return ContentDecision::Send;
  if (IsProven || Probe.EarliestAt > Now + Duration(MaxDecisionTime))
    return ContentDecision::Refuse;
  return ContentDecision::Wait;
}

bool CrashesPlugin::mustEnd(const RelayHead &Head) const {
  if (this->Tracker.isEmpty() ||
      this->Probes.kindOf(Head.Id) != ProbeKind::None)
    return false;
  // What runs with a part that is only suspected decides the suspicion.
  return this->Tracker.isQuarantined(Head.Content) ||
         std::ranges::any_of(Head.PromptParts, [&](Fingerprint Part) {
           return this->Tracker.judge(Part).Verdict == CrashVerdict::Proven;
         });
}

void CrashesPlugin::attemptSent(const RelayAttempt &Attempt, Time,
                                Actions &Out) {
  const ProbeKind Kind = this->Probes.kindOf(Attempt.Request);
  if (Kind == ProbeKind::None)
    return;
  this->Probes.sent(Attempt.Request);
  Out.count("content_probes");
  Out.log(logEvent(events::ContentProbed)
              .with("id", Attempt.Request.Value)
              .with("engine", Attempt.Engine.Value)
              .with("alone", Kind == ProbeKind::Alone ? "true" : "false")
              .build());
}

void CrashesPlugin::attemptBegan(const RelayAttempt &Attempt, Time, Actions &) {
  this->Answers.began(Attempt);
}

void CrashesPlugin::attemptCancelled(const RelayAttempt &Attempt, Time Now,
                                     Actions &) {
  this->Answers.ended(Attempt.Id);
  this->Probes.ended(Attempt.Request, false, Now);
}

void CrashesPlugin::attemptEnded(const RelayAttempt &Attempt,
                                 const RelayOutcome &Outcome, Time Now,
                                 Actions &Out) {
  // An answer that is cut off late has shown that its begin did no harm.
  this->clearRunningAnswers(Now, Out);
  this->Answers.ended(Attempt.Id);
  bool IsLost = false;
  match(
      Outcome,
      [&](const RelayBroken &Broken) {
        IsLost = Broken.Reason == RelayBroken::Why::Reset;
      },
      // The end of the connection may be the end of the answer or of the
      // engine.
      [&](const RelayDelivered &Delivered) {
        if (Delivered.End == RelayDelivered::Ending::Explicit)
          this->clear(contentsOf(Attempt),
                      Attempt.Began ? Attempt.BeganAt : Now, Now, Out);
        IsLost = Delivered.End == RelayDelivered::Ending::Connection;
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
  if (IsLost)
    this->suspect(Attempt, Now, Out);
  this->Probes.ended(Attempt.Request, IsLost, Now);
}

void CrashesPlugin::suspect(const RelayAttempt &Attempt, Time Now,
                            Actions &Out) {
  const CrashEvidence Evidence{Attempt.SentAt, Now,
                               this->Probes.kindOf(Attempt.Request)};
  this->Tracker.addSuspicion({Attempt.Content, Attempt.Engine}, Evidence);
  const bool IsCause =
      !Attempt.Began || Now < Attempt.BeganAt + Duration(MaxCrashDelay);
  if (IsCause)
    for (const Fingerprint &Part : Attempt.PromptParts)
      this->Tracker.addSuspicion({Part, Attempt.Engine}, Evidence);
  if (this->Check.connectionLost(Attempt.Engine, Now))
    this->askWhetherAlive(Attempt.Engine, Now, Out);
}

void CrashesPlugin::clearRunningAnswers(Time Now, Actions &Out) {
  for (const RunningAnswers::Answer &Found : this->Answers.takeHarmless(Now))
    this->clear(Found.Contents, Found.BeganAt, Now, Out);
}

void CrashesPlugin::clear(std::span<const Fingerprint> Contents, Time BeganAt,
                          Time Now, Actions &Out) {
  for (const Fingerprint &Content : Contents) {
    if (this->Tracker.noteHarmless(Content, BeganAt)) {
      this->endQuarantine(Content, Now, Out);
      this->sendToPeers(HarmlessContent{Content, Now - BeganAt}, Out);
    } else {
      this->tellHarmless(Content, Now, Out);
      // A better suspect, which was found later, ends a quarantine too.
      this->removeEnded(Content, Out);
    }
  }
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

void CrashesPlugin::confirm(const UpstreamId &Engine, Time Now, Actions &Out) {
  this->Check.remove(Engine);
  const std::vector<ConfirmedCrash> Crashes =
      this->Tracker.confirm(Engine, Now);
  if (!Crashes.empty())
    this->Reach->engineDied(Engine);
  for (const ConfirmedCrash &Found : Crashes) {
    this->log(Found, "here", Now, Out);
    this->tellHarmless(Found.Observed.Content, Now, Out);
    this->noteQuarantine(Found.Observed.Content, Now, Out);
    this->sendToPeers(makeNotice(Found, Now, Now + this->RetentionTime), Out);
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
  if (const auto Verdict = this->Tracker.takeToStore(Content))
    Out.add(GatewayAction(
        StoreQuarantine{Content, true, *Verdict == CrashVerdict::Proven}));
}

void CrashesPlugin::log(const ConfirmedCrash &Found, std::string_view From,
                        Time Now, Actions &Out) const {
  const Fingerprint Content = Found.Observed.Content;
  const Judgement Result = this->Tracker.judge(Content);
  const HarmlessAnswers::Answers *Harmless =
      this->Tracker.harmlessAnswers(Content);
  auto Line =
      logEvent(events::ContentCrashed)
          .with("content", Content.Value)
          .with("engine", Found.Observed.Engine.Value)
          .with("crashes", Result.Crashes)
          .with("repetitions", Result.Repetitions)
          .with("verdict", nameOf(Result.Verdict))
          .with("quarantined",
                Result.Verdict == CrashVerdict::Sound ? "false" : "true")
          .with("harmless_answers", Harmless ? Harmless->Count : 0)
          .with("from", From)
          .with("suspected_us", (Now - Found.Evidence.CrashedAt).count());
  if (Harmless)
    Line.with("harmless_us_ago", (Now - Harmless->NewestBeganAt).count());
  if (Result.BetterSuspect)
    Line.with("better_suspect", Result.BetterSuspect->Value);
  Out.count("content_crashes");
  Out.log(Line.build());
}

std::vector<SettingDeclaration> CrashesPlugin::settings() {
  const std::string SectionName = "crashes";
  return {
      {SectionName, "most", SettingKind::Whole, "3",
       "A content, a whole request or a part of prompts, that crashed so many "
       "upstreams is suspected; it is run only as a probe.",
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
       "For so long after the begin of an answer that did no harm, its "
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
