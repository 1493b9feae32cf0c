#include "plugins/relays/RelaysPlugin.h"

#include "base/Visitor.h"
#include "gateway/PromptSize.h"
#include "kernel/PluginRegistry.h"
#include "plugins/relays/RelayLog.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Time that a caller waits who does not say how long.
constexpr seconds UnknownRemaining(30);

/// A request with less time left is not sent to another upstream: the way
/// there and the shortest work.
constexpr milliseconds ShortestTry(20);

/// Part of the repeats that active hosts may send; the others have the rest,
/// for callers that kept an earlier answer. No more, as a host that takes the
/// place of a dead one has its part while the dead one's repeats still count.
constexpr double ActiveBudget = 0.6;

/// Whether the try is lost with the engine: it runs there, or parts of its
/// prompt are read or kept there.
bool dependsOn(const RelayAttempt &Attempt, const UpstreamId &Engine) {
  if (Attempt.Engine == Engine)
    return true;
  return std::ranges::any_of(Attempt.Helpers, [&](const HelperEngine &Each) {
    return Each.Engine == Engine && (!Attempt.Began || Each.Tokens > 0);
  });
}

/// Whether the request will be sent, now or in its turn.
bool leadsToAnother(const EngineChoice &Choice) {
  return std::holds_alternative<SelectedEngine>(Choice) ||
         std::holds_alternative<AwaitTurn>(Choice);
}

/// Whether the upstream gave an answer of any kind.
bool isSignOfLife(const RelayOutcome &Outcome) {
  return !std::holds_alternative<RelayNeverSent>(Outcome) &&
         !std::holds_alternative<RelayBroken>(Outcome);
}

} // namespace

void RelaysPlugin::initialize(PluginContext &Context) {
  this->Offered = &Context.services();
  this->Own = Context.self();
  this->Members = &Context.services().get<MembershipView>();
  this->Active = &Context.services().get<ActiveHostsView>();
  this->Declared = &Context.services().get<RouteView>();
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Selector = &Context.services().get<EngineSelector>();
  this->Memory = &Context.services().get<MemoryReserver>();
  this->Gate = &Context.services().get<EngineGate>();
  Context.services().list<MemoryObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
  this->Crashes = &Context.services().get<CrashView>();
  this->Numbers = &Context.random();
  this->Options = readRelaySettings(Context.settings());
  this->Allowance = RetryAllowance(retryBudgetLimits(Context.settings()));
  Context.services().provide<RelayCount>(*this);
}

void RelaysPlugin::start(Time, Actions &) {}

void RelaysPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What,
      [&](const GatewayEvent &Is) {
        match(
            Is,
            [&](const RelayArrived &Each) {
              this->receive(Each.Head, Now, Out);
            },
            [&](const RelayBegan &Each) { this->began(Each, Now, Out); },
            [&](const RelayEnded &Each) { this->ended(Each, Now, Out); },
            [&](const SettingsReloaded &Each) {
              this->Options = readRelaySettings(*Each.Values);
              this->Allowance.setLimits(retryBudgetLimits(*Each.Values));
            },
            [](const auto &) {});
      },
      [&](const CallerDisconnected &Is) {
        this->callerGone(Is.Request, Now, Out);
      },
      [&](const StopRequest &) {
        this->LeavingSince = std::min(this->LeavingSince, Now);
      },
      [](const auto &) {});
  if (Now < this->NextLook)
    return;
  this->NextLook = Never;
  for (const RequestId &Id : this->Running.ids())
    if (RunningRelay *Each = this->Running.find(Id))
      this->look(*Each, Now, Out);
}

Time RelaysPlugin::nextWake() const { return this->NextLook; }

void RelaysPlugin::receive(const RelayHead &Head, Time Now, Actions &Out) {
  const RouteTable *Routes = this->Declared->routes();
  if (!Routes) {
    this->refuse(Head, RefusalKind::NotRun, this->Options.DefaultRetryAfter,
                 "no configuration is known here yet", Out);
    return;
  }
  if (this->Declared->isStale(Now)) {
    this->refuse(Head, RefusalKind::NotRun, this->Options.DefaultRetryAfter,
                 "a newer configuration is on its way here", Out);
    return;
  }
  const RouteEntry *Route = Routes->find(Head.Host, Head.Path);
  if (!Route) {
    this->refuse(Head, RefusalKind::NoSuchRoute, Duration(0),
                 "no route takes this host and path", Out);
    return;
  }
  const KeyOwner *Owner = Routes->ownerOf(Head.Key);
  if (Routes->configuration().NeedsKeys && !Route->Public && !Owner) {
    this->refuse(Head, RefusalKind::UnknownKey, Duration(0),
                 "the key is missing or unknown", Out);
    return;
  }
  this->admit(Head, *Route, Owner, Now, Out);
}

void RelaysPlugin::admit(const RelayHead &Head, const RouteEntry &Route,
                         const KeyOwner *Owner, Time Now, Actions &Out) {
  RunningRelay Each;
  Each.Head = Head;
  Each.Terms = {Route.Kind, Route.Resumable, Route.Attempts, Route.Objective,
                Route.MaxEventGap};
  Each.Service = this->serviceFor(Route);
  Each.Rank = Owner && Owner->Rank ? *Owner->Rank : Route.Rank;
  if (Owner)
    Each.Team = Owner->Team;
  Each.NeedsKey = this->Declared->routes()->configuration().NeedsKeys;
  Each.ConfigurationVersion = this->Declared->routes()->version();
  Each.ArrivedAt = Now;
  Each.LastEvent = Head.LastEvent;
  const Duration Remaining = Head.Remaining.value_or(UnknownRemaining);
  Each.IsFirstCallerAttempt =
      Head.Remaining &&
      this->RetryDetector.isFirstAttempt(Route.Name, *Head.Remaining, Now);
  const bool Limited = Route.TimeLimit > Duration(0);
  Each.IsLimitedByRoute = Limited && Route.TimeLimit <= Remaining;
  Each.Deadline = Now + (Each.IsLimitedByRoute ? Route.TimeLimit : Remaining);
  this->Allowance.noteRequest(Each.Service, Now);
  logReceived(Each, Route.Name, Now, Out);
  if (this->Crashes->isQuarantined(Head.Content, Now)) {
    this->refuse(Head, RefusalKind::NotRun, seconds(5),
                 "this content crashed engines and is not run", Out);
    return;
  }
  if (this->isLeavingLate(Now)) {
    this->refuse(Head, RefusalKind::NotRun, milliseconds(10),
                 "this host stops; ask for another one", Out);
    return;
  }
  this->send(this->Running.add(std::move(Each)), Now, Out);
}

void RelaysPlugin::send(RunningRelay &Each, Time Now, Actions &Out) {
  if (Each.Sends >= this->Options.MaxSends ||
      Each.Deadline - Now < ShortestTry) {
    this->finish(Each, Each.refusal(), "tries or time used up", Now, Out);
    return;
  }
  std::vector<UpstreamId> Excluded = Each.RanOn;
  Excluded.insert(Excluded.end(), Each.NotRunOn.begin(), Each.NotRunOn.end());
  match(
      this->Selector->choose(engineRequirements(Each, Excluded, Now), Now),
      [&](const SelectedEngine &Chosen) { this->take(Each, Chosen, Now, Out); },
      [&](const AwaitTurn &Turn) {
        this->awaitTurn(Each, Turn.CheckAfter, Now, Out);
      },
      [&](const RetryLater &Is) {
        this->finish(Each, Each.refusal(),
                     Is.Is == RetryLater::Why::Blocked
                         ? "all engines are at rest or at limits; come back"
                         : "no engine can begin it in time; come back",
                     Now, Out, Is.After);
      },
      [&](const NoEngine &) { this->wait(Each, Now, Out); });
}

void RelaysPlugin::take(RunningRelay &Each, const SelectedEngine &Chosen,
                        Time Now, Actions &Out) {
  Each.AwaitsTurn = false;
  const bool NeedsMemory = std::ranges::any_of(
      Chosen.Helpers, [](const HelperEngine &One) { return One.Tokens > 0; });
  if (!NeedsMemory) {
    this->dispatch(Each, Chosen, Now, Out);
    return;
  }
  Each.PendingReservation = Chosen;
  this->Memory->acquire(Each.Head.Id, Chosen.Helpers, Now, Out);
  this->noteWake(Each, Now);
}

void RelaysPlugin::awaitTurn(RunningRelay &Each, Duration CheckAfter, Time Now,
                             Actions &Out) {
  if (!Each.AwaitsTurn)
    logQueued(Each, Out);
  Each.AwaitsTurn = true;
  Each.NextAttemptAt = Now + CheckAfter;
  // Those that refused may take it at the next look.
  Each.NotRunOn.clear();
  this->noteWake(Each, Now);
}

void RelaysPlugin::memoryDecided(const RequestId &Id,
                                 std::span<const HelperEngine> Shares, Time Now,
                                 Actions &Out) {
  RunningRelay *Each = this->Running.find(Id);
  if (!Each || !Each->PendingReservation) {
    this->Memory->release(Id, Now, Out);
    return;
  }
  SelectedEngine Chosen = *Each->PendingReservation;
  Each->PendingReservation.reset();
  // The choice is a moment old: engines may have gone, or want no more.
  const bool Gone =
      std::ranges::any_of(Chosen.Helpers, [&](const HelperEngine &One) {
        return this->Gate->blocked(One.Engine, Now).has_value();
      });
  if (Shares.empty() || Gone) {
    this->Memory->release(Id, Now, Out);
    Each->NextAttemptAt = Now + this->Options.MemoryRetryDelay;
    this->wait(*Each, Now, Out);
    return;
  }
  Chosen.Helpers.assign(Shares.begin(), Shares.end());
  this->dispatch(*Each, Chosen, Now, Out);
}

void RelaysPlugin::dispatch(RunningRelay &Each, const SelectedEngine &Chosen,
                            Time Now, Actions &Out) {
  const RegisteredEngine *Engine = this->Directory->find(Chosen.Engine);
  Each.WaitingSince = Never;
  ++Each.Sends;
  const RelayAttempt Attempt =
      makeAttempt(Each, Chosen, {this->Own.Life, ++this->Tries}, Now);
  Each.AnswerTimeoutAt =
      Each.isIdempotent() ? Now + this->patience(Each, Chosen) : Never;
  Out.add(GatewayAction(makeDispatch(Each, Attempt, Chosen, Engine->Record.At,
                                     this->Options.SilenceLimits)));
  logSent(Each, Attempt, *Engine, Chosen, Out);
  Each.LiveAttempt = Attempt;
  this->Running.link(Attempt.Id, Each.Head.Id);
  for (RelayObserver *Observer : this->Offered->list<RelayObserver>().all())
    Observer->attemptSent(Attempt, Now, Out);
  this->noteWake(Each, Now);
}

void RelaysPlugin::wait(RunningRelay &Each, Time Now, Actions &Out) {
  Each.AwaitsTurn = false;
  if (Each.WaitingSince == Never) {
    Each.WaitingSince = Now;
    logWaiting(Each, Out);
  }
  const Duration Hold =
      std::max(this->Options.MinHold,
               fromSeconds(inSeconds(Each.Deadline - Each.ArrivedAt) *
                           this->Options.HoldShare));
  if (Now >= Each.WaitingSince + Hold) {
    this->finish(Each, Each.refusal(), "no engine could take it", Now, Out);
    return;
  }
  // Those that refused may take it at the next look.
  Each.NotRunOn.clear();
  this->noteWake(Each, Now);
}

void RelaysPlugin::began(const RelayBegan &Is, Time Now, Actions &Out) {
  RunningRelay *Each = this->Running.findByAttempt(Is.Attempt);
  if (!Each || !Each->LiveAttempt)
    return;
  if (!Each->Began)
    Each->FirstEventLatency = Now - Each->ArrivedAt;
  if (!Each->Began)
    Out.add(RecordMeasurement{
        RecordMeasurement::Kind::Histogram, "relay_first_event_seconds",
        std::string(name(promptSize(Each->Head.PromptTokens))),
        inSeconds(Now - Each->ArrivedAt)});
  Each->Began = true;
  this->Signs[Each->LiveAttempt->Engine] = Now;
  Each->LiveAttempt->Began = true;
  Each->AnswerTimeoutAt = Never;
  for (RelayObserver *Observer : this->Offered->list<RelayObserver>().all())
    Observer->attemptBegan(*Each->LiveAttempt, Now, Out);
}

void RelaysPlugin::ended(const RelayEnded &Is, Time Now, Actions &Out) {
  RunningRelay *Each = this->Running.findByAttempt(Is.Attempt);
  if (!Each || !Each->LiveAttempt || Each->LiveAttempt->Id != Is.Attempt)
    return;
  if (isSignOfLife(Is.Outcome))
    this->Signs[Each->LiveAttempt->Engine] = Now;
  if (const auto *Other = std::get_if<RelayNotRun>(&Is.Outcome))
    if (Other->OtherEngine)
      this->Directory->addressTaken(faultyEngine(*Other,
                                                 Each->LiveAttempt->Engine,
                                                 Each->LiveAttempt->Helpers),
                                    Now, Out);
  const RelayAttempt Ended = this->endTry(*Each, Is.Outcome, Now, Out);
  this->follow(*Each, Ended, Is.Outcome, Now, Out);
}

RelayAttempt RelaysPlugin::endTry(RunningRelay &Each,
                                  const RelayOutcome &Outcome, Time Now,
                                  Actions &Out) {
  RelayAttempt Ended = *Each.LiveAttempt;
  this->Running.unlink(Ended.Id);
  Each.LiveAttempt.reset();
  Each.AnswerTimeoutAt = Never;
  this->Memory->release(Each.Head.Id, Now, Out);
  logAttemptEnded(Each, Ended, Outcome, Now, Out);
  for (RelayObserver *Observer : this->Offered->list<RelayObserver>().all())
    Observer->attemptEnded(Ended, Outcome, Now, Out);
  return Ended;
}

void RelaysPlugin::engineRestarted(const UpstreamId &Id, Time Now,
                                   Actions &Out) {
  for (const RequestId &Request : this->Running.ids()) {
    RunningRelay *Each = this->Running.find(Request);
    if (!Each || !Each->LiveAttempt || !dependsOn(*Each->LiveAttempt, Id))
      continue;
    Out.add(GatewayAction(CancelRelay{Each->LiveAttempt->Id}));
    const RelayOutcome Lost =
        RelayBroken{RelayBroken::Why::Reset, Each->Began, std::nullopt};
    const RelayAttempt Ended = this->endTry(*Each, Lost, Now, Out);
    this->follow(*Each, Ended, Lost, Now, Out);
  }
}

void RelaysPlugin::follow(RunningRelay &Each, const RelayAttempt &Ended,
                          const RelayOutcome &Outcome, Time Now, Actions &Out) {
  match(
      judgeAttempt(Each, Ended, Outcome),
      [&](const RelayCompleted &) {
        logEnd(Each, "delivered", "", Now, Out);
        this->Running.remove(Each.Head.Id);
      },
      [&](const RetryElsewhere &Again) {
        const bool Allowed =
            !Again.ReachedUpstream ||
            this->Allowance.take(Each.Service, this->budgetShare(), Now);
        if (Allowed) {
          this->send(Each, Now, Out);
          return;
        }
        Out.count("retries_refused", Each.Service.Value);
        this->finish(Each, Each.refusal(), "the budget of repeats is used up",
                     Now, Out);
      },
      [&](const GiveUp &End) {
        this->finish(Each, End.Kind, "no other try is allowed", Now, Out);
      });
}

void RelaysPlugin::finish(RunningRelay &Each, RefusalKind Kind,
                          std::string_view Why, Time Now, Actions &Out,
                          std::optional<Duration> RetryAfter) {
  const RequestId Id = Each.Head.Id;
  if (Each.LiveAttempt)
    this->cancelTry(Each, Now, Out);
  this->Memory->release(Id, Now, Out);
  this->Selector->forget(Id, Now);
  if (Each.Began) {
    logEnd(Each, "broken_off", Why, Now, Out);
    Out.add(GatewayAction(BreakRelay{Id}));
  } else if (Each.KeptFailure) {
    logEnd(Each, "failure_delivered", Why, Now, Out);
    Out.add(GatewayAction(DeliverFailure{Id, *Each.KeptFailure}));
  } else {
    logEnd(Each, name(Kind), Why, Now, Out);
    Out.add(GatewayAction(
        RefuseRelay{Id, Kind,
                    Kind == RefusalKind::NotRun
                        ? RetryAfter.value_or(this->Options.DefaultRetryAfter)
                        : Duration(0),
                    std::string(Why)}));
  }
  this->Running.remove(Id);
}

void RelaysPlugin::refuse(const RelayHead &Head, RefusalKind Kind,
                          Duration RetryAfter, std::string_view Why,
                          Actions &Out) {
  const RouteTable *Routes = this->Declared->routes();
  logRefused(Head, Kind, Why, Routes ? Routes->version() : 0, Out);
  Out.add(
      GatewayAction(RefuseRelay{Head.Id, Kind, RetryAfter, std::string(Why)}));
}

void RelaysPlugin::cancelTry(RunningRelay &Each, Time Now, Actions &Out) {
  Out.add(GatewayAction(CancelRelay{Each.LiveAttempt->Id}));
  for (RelayObserver *Observer : this->Offered->list<RelayObserver>().all())
    Observer->attemptCancelled(*Each.LiveAttempt, Now, Out);
  this->Running.unlink(Each.LiveAttempt->Id);
  Each.LiveAttempt.reset();
  Each.AnswerTimeoutAt = Never;
}

void RelaysPlugin::callerGone(const RequestId &Id, Time Now, Actions &Out) {
  RunningRelay *Each = this->Running.find(Id);
  if (!Each)
    return;
  if (Each->LiveAttempt)
    this->cancelTry(*Each, Now, Out);
  this->Memory->release(Id, Now, Out);
  this->Selector->forget(Id, Now);
  logEnd(*Each, "caller_gone", "", Now, Out);
  this->Running.remove(Id);
}

void RelaysPlugin::look(RunningRelay &Each, Time Now, Actions &Out) {
  const Duration Slack =
      Each.LiveAttempt ? this->Options.DeadlineGrace : Duration(0);
  if (Now >= Each.Deadline + Slack) {
    const bool Sent = Each.LiveAttempt || Each.mayHaveRun();
    this->finish(Each, Sent ? RefusalKind::TimedOut : RefusalKind::NotRun,
                 Each.IsLimitedByRoute ? "the route's time limit"
                                       : "the caller's time",
                 Now, Out);
    return;
  }
  if (Each.LiveAttempt && Now >= Each.AnswerTimeoutAt) {
    if (!this->isOnlySlow(Each, Now)) {
      this->loseLiveTry(Each, Now, Out);
      return;
    }
    Each.AnswerTimeoutAt = Now + this->Options.LivenessWindow;
  }
  if (Each.awaitsSending() && Now >= Each.NextAttemptAt) {
    this->send(Each, Now, Out);
    return;
  }
  this->noteWake(Each, Now);
}

bool RelaysPlugin::isOnlySlow(const RunningRelay &Each, Time Now) const {
  const auto Found = this->Signs.find(Each.LiveAttempt->Engine);
  return Found != this->Signs.end() &&
         Now < Found->second + this->Options.LivenessWindow &&
         Now < Each.LiveAttempt->SentAt + this->Options.MaxAnswerTimeout;
}

void RelaysPlugin::loseLiveTry(RunningRelay &Each, Time Now, Actions &Out) {
  Each.AnswerTimeoutAt = Never;
  const bool OneMore = Each.RanOn.size() + 1 < Each.Terms.Attempts;
  std::vector<UpstreamId> Excluded = Each.RanOn;
  Excluded.push_back(Each.LiveAttempt->Engine);
  // A try is only given up for a better one.
  if (!OneMore ||
      !leadsToAnother(this->Selector->choose(
          engineRequirements(Each, Excluded, Now), Now)) ||
      !this->Allowance.take(Each.Service, this->budgetShare(), Now)) {
    this->noteWake(Each, Now);
    return;
  }
  Out.add(GatewayAction(CancelRelay{Each.LiveAttempt->Id}));
  const RelayAttempt Lost = this->endTry(
      Each, RelayBroken{RelayBroken::Why::Silent, false, std::nullopt}, Now,
      Out);
  Each.RanOn.push_back(Lost.Engine);
  this->send(Each, Now, Out);
}

Time RelaysPlugin::wakeOf(const RunningRelay &Each) const {
  Time Result = Each.Deadline +
                (Each.LiveAttempt ? this->Options.DeadlineGrace : Duration(0));
  if (Each.LiveAttempt)
    Result = std::min(Result, Each.AnswerTimeoutAt);
  return Result;
}

void RelaysPlugin::noteWake(const RunningRelay &Each, Time Now) {
  this->NextLook = std::min(this->NextLook, this->wakeOf(Each));
  if (!Each.awaitsSending())
    return;
  const Time Pause =
      Each.AwaitsTurn ? Now : Now + this->Options.WaitRetryInterval;
  this->NextLook =
      std::min(this->NextLook, std::max(Each.NextAttemptAt, Pause));
}

Duration RelaysPlugin::patience(const RunningRelay &Each,
                                const SelectedEngine &Chosen) const {
  const double Expected =
      std::max(inSeconds(Chosen.Predicted), inSeconds(Each.Terms.Objective));
  return fromSeconds(Expected * this->Options.AnswerTimeoutFactor) +
         this->Options.AnswerTimeoutMargin;
}

bool RelaysPlugin::isLeavingLate(Time Now) const {
  return this->LeavingSince != Never &&
         Now >= this->LeavingSince + this->Options.RefuseAfterStopping;
}

double RelaysPlugin::budgetShare() const {
  // The dead are counted while they are remembered: what they repeated is
  // still in the window.
  const auto All = static_cast<double>(this->Members->peers().size() + 1);
  const auto Active = static_cast<double>(this->Active->activeHosts().size());
  if (Active >= All)
    return 1 / All;
  return this->Active->isActive() ? ActiveBudget / Active
                                  : (1 - ActiveBudget) / All;
}

ServiceId RelaysPlugin::serviceFor(const RouteEntry &Route) {
  double Sum = 0;
  for (const WeightedService &Each : Route.Split)
    Sum += Each.Weight;
  double Left = this->Numbers->fraction() * Sum;
  for (const WeightedService &Each : Route.Split) {
    if (Left < Each.Weight)
      return Each.Service;
    Left -= Each.Weight;
  }
  return Route.Split.empty() ? ServiceId() : Route.Split.front().Service;
}

void RelaysPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->Running.size() < 100'000,
                  "relayed requests end in the end");
}

std::vector<SettingDeclaration> RelaysPlugin::settings() {
  return relaySettingDeclarations();
}

namespace {

const PluginRegistration
    Registration({"relays",
                  {"active_hosts", "crashes", "engine_load", "engine_memory",
                   "engine_signals", "engines", "membership", "routes"},
                  RelaysPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<RelaysPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
