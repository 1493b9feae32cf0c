#include "plugins/relays/RelaysPlugin.h"

#include "base/Visitor.h"
#include "kernel/HostShare.h"
#include "kernel/PluginRegistry.h"
#include "plugins/relays/PeerChoice.h"
#include "plugins/relays/RelayLog.h"

#include <algorithm>
#include <utility>

namespace banyanpick {

namespace {

/// Hosts to which one request is forwarded in turn.
constexpr std::uint32_t MaxForwards = 3;

/// Remaining time of a request whose caller does not state one.
constexpr seconds DefaultRemaining(30);

/// When the caller of a quarantined content should come back.
constexpr seconds QuarantineRetryAfter(5);

/// How long a request waits until it is known whether its contents crash
/// engines. Most suspicions are decided by then.
constexpr seconds MaxUndecidedWait(3);

/// The time to the first event if no engine is chosen yet.
constexpr Duration UnknownTime{};

/// Whether the request will be sent, now or after queued requests.
bool willBeDispatched(const EngineChoice &Choice) {
  return std::holds_alternative<SelectedEngine>(Choice) ||
         std::holds_alternative<AwaitTurn>(Choice);
}

} // namespace

void RelaysPlugin::initialize(PluginContext &Context) {
  this->Registry = &Context.services();
  this->Own = Context.self();
  this->Members = &Context.services().get<MembershipView>();
  this->Active = &Context.services().get<ActiveHostsView>();
  this->RouteState = &Context.services().get<RouteView>();
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Selector = &Context.services().get<EngineSelector>();
  this->Memory = &Context.services().get<MemoryReserver>();
  this->Gate = &Context.services().get<EngineGate>();
  this->Quota = &Context.services().get<EngineQuota>();
  Context.services().list<MemoryObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
  Context.services().list<QuarantineObserver>().add(*this);
  this->Crashes = &Context.services().get<CrashView>();
  this->Reach = &Context.services().get<EngineReachView>();
  this->Stop = &Context.services().get<StopSchedule>();
  this->RandomSource = &Context.random();
  this->Options = readRelaySettings(Context.settings());
  this->Allowance = RetryAllowance(retryBudgetLimits(Context.settings()));
  Context.services().provide<RelayCount>(*this);
}

void RelaysPlugin::start(Time Now, Actions &) {
  if (this->Options.WithholdBudgetAtStart)
    this->Allowance.withholdConstant(Now);
}

void RelaysPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const GatewayEvent &Gateway) {
        match(
            Gateway,
            [&](const RelayArrived &Arrival) {
              this->receive(Arrival.Head, Now, Out);
            },
            [&](const RelayBegan &Begin) { this->began(Begin, Now, Out); },
            [&](const RelayEnded &End) { this->ended(End, Now, Out); },
            [&](const SettingsReloaded &Reload) {
              this->Options = readRelaySettings(*Reload.Values);
              this->Allowance.setLimits(retryBudgetLimits(*Reload.Values));
            },
            [](const auto &) {});
      },
      [&](const CallerDisconnected &Gone) {
        this->callerGone(Gone.Request, Now, Out);
      },
      [&](const StopRequest &) { this->NextCheck = Now; }, [](const auto &) {});
  this->finishNewlyQuarantined(Now, Out);
  if (Now < this->NextCheck)
    return;
  this->NextCheck = Never;
  for (const RequestId &Id : this->Running.ids())
    if (RunningRelay *Relay = this->Running.find(Id))
      this->check(*Relay, Now, Out);
}

Time RelaysPlugin::nextWake() const { return this->NextCheck; }

void RelaysPlugin::receive(const RelayHead &Head, Time Now, Actions &Out) {
  const RouteTable *Routes = this->RouteState->routes();
  if (!Routes) {
    this->refuse(Head, RefusalKind::NotRun, this->Options.DefaultRetryAfter,
                 "no configuration is known here yet", Now, Out);
    return;
  }
  if (this->RouteState->isStale(Now)) {
    this->refuse(Head, RefusalKind::NotRun, this->Options.DefaultRetryAfter,
                 "a newer configuration is on its way here", Now, Out);
    return;
  }
  const RouteEntry *Route = Routes->find(Head.Host, Head.Path);
  if (!Route) {
    this->refuseByConfiguration(Head, RefusalKind::NoSuchRoute,
                                "no route takes this host and path", Now, Out);
    return;
  }
  const KeyOwner *Owner = Routes->ownerOf(Head.Key);
  if (Routes->configuration().NeedsKeys && !Route->Public && !Owner) {
    this->refuseByConfiguration(Head, RefusalKind::UnknownKey,
                                "the key is missing or unknown", Now, Out);
    return;
  }
  this->admit(Head, *Route, Owner, Now, Out);
}

void RelaysPlugin::refuseByConfiguration(const RelayHead &Head,
                                         RefusalKind Kind,
                                         std::string_view Reason, Time Now,
                                         Actions &Out) {
  if (!this->RouteState->mayBeOutdated(Now)) {
    this->refuse(Head, Kind, Duration(0), Reason, Now, Out);
    return;
  }
  const Duration Expected = this->RouteState->freshness(Now).ExpectedIn;
  this->refuse(Head, RefusalKind::NotRun,
               std::max(Expected, this->Options.DefaultRetryAfter),
               "a newer configuration may allow this request", Now, Out);
}

void RelaysPlugin::admit(const RelayHead &Head, const RouteEntry &Route,
                         const KeyOwner *Owner, Time Now, Actions &Out) {
  RunningRelay Relay;
  Relay.Head = Head;
  Relay.Terms = {Route.Kind,
                 Route.Resumable,
                 Route.Attempts,
                 Route.Objective,
                 Route.MaxEventGap,
                 {Route.HomeRegions,
                  Owner ? Owner->HomeRegions : std::vector<RegionId>()}};
  Relay.Route = Route.Name;
  Relay.Service = this->serviceFor(Route);
  Relay.Rank = Owner && Owner->Rank ? *Owner->Rank : Route.Rank;
  if (Owner)
    Relay.Team = Owner->Team;
  Relay.NeedsKey = this->RouteState->routes()->configuration().NeedsKeys;
  Relay.ConfigurationVersion = this->RouteState->routes()->version();
  Relay.ArrivedAt = Now;
  Relay.LastEvent = Head.LastEvent;
  const Duration Remaining = Head.Remaining.value_or(DefaultRemaining);
  Relay.IsFirstCallerAttempt =
      Head.Remaining &&
      this->RetryDetector.isFirstAttempt(Route.Name, *Head.Remaining, Now);
  const bool Limited = Route.TimeLimit > Duration(0);
  Relay.IsLimitedByRoute = Limited && Route.TimeLimit <= Remaining;
  Relay.Deadline = Now + (Relay.IsLimitedByRoute ? Route.TimeLimit : Remaining);
  // The host to which it is forwarded counts it.
  if (!this->isOutOfReach(Relay, Now))
    this->Allowance.recordRequest(Relay.Service, Now);
  logReceived(Relay, Now, Out);
  RunningRelay &Added = this->Running.add(std::move(Relay));
  if (this->Stop->isExiting())
    this->finishForStop(Added, Now, Out);
  else
    this->send(Added, Now, Out);
}

void RelaysPlugin::send(RunningRelay &Relay, Time Now, Actions &Out) {
  if (!this->passQuarantine(Relay, Now, Out))
    return;
  if (Relay.Sends >= this->Options.MaxSends ||
      Relay.Deadline - Now < MinAttemptTime) {
    this->finish(Relay, Relay.refusal(), "tries or time used up", Now, Out);
    return;
  }
  if (this->isOutOfReach(Relay, Now)) {
    if (Relay.Head.IsForwarded) {
      this->finish(Relay, Relay.refusal(), "this host reaches no engine", Now,
                   Out);
      return;
    }
    if (this->forward(Relay, Now, Out))
      return;
  }
  std::vector<UpstreamId> Excluded = Relay.RanOn;
  Excluded.insert(Excluded.end(), Relay.NotRunOn.begin(), Relay.NotRunOn.end());
  match(
      this->Selector->choose(engineRequirements(Relay, Excluded, Now), Now),
      [&](const SelectedEngine &Chosen) {
        if (this->canEndBeforeStop(Relay, Chosen.Predicted, Now))
          this->dispatchChoice(Relay, Chosen, Now, Out);
        else
          this->finishForStop(Relay, Now, Out);
      },
      [&](const AwaitTurn &Turn) {
        if (this->canEndBeforeStop(Relay, UnknownTime, Now))
          this->awaitTurn(Relay, Turn.CheckAfter, Now, Out);
        else
          this->finishForStop(Relay, Now, Out);
      },
      [&](const RetryLater &Refusal) {
        this->finish(Relay, Relay.refusal(), reasonOf(Refusal), Now, Out,
                     Refusal.After);
      },
      [&](const NoEngine &) { this->wait(Relay, Now, Out); });
}

bool RelaysPlugin::isOutOfReach(const RunningRelay &Relay, Time Now) const {
  return this->Reach->isCutOff(Relay.Service, Now);
}

bool RelaysPlugin::forward(RunningRelay &Relay, Time Now, Actions &Out) {
  const Member *Peer = choosePeer(this->Members->peers(), this->Own.Zone,
                                  Relay.NotRunOn, *this->RandomSource);
  // The other host may use all attempts of the route, so it gets no request
  // that has used one.
  if (!Peer || Relay.Forwards == MaxForwards || Relay.mayHaveRun())
    return false;
  if (!this->canEndBeforeStop(Relay, UnknownTime, Now)) {
    this->finishForStop(Relay, Now, Out);
    return true;
  }
  ++Relay.Forwards;
  const RelayAttempt Attempt = makeForward(
      Relay, Peer->Listing.Id, {this->Own.Life, ++this->AttemptCount}, Now);
  Relay.AnswerTimeoutAt = Never;
  Out.add(GatewayAction(
      makeForwardDispatch(Relay, Attempt, Peer->Listing.Callers)));
  logForwarded(Relay, Attempt, Out);
  this->beginAttempt(Relay, Attempt, Now, Out);
  return true;
}

void RelaysPlugin::wait(RunningRelay &Relay, Time Now, Actions &Out) {
  Relay.AwaitsTurn = false;
  if (Relay.WaitingSince == Never) {
    Relay.WaitingSince = Now;
    logWaiting(Relay, Out);
  }
  const Duration Hold =
      std::max(this->Options.MinHold,
               fromSeconds(inSeconds(Relay.Deadline - Relay.ArrivedAt) *
                           this->Options.HoldShare));
  if (!this->canEndBeforeStop(Relay, UnknownTime, Now)) {
    this->finishForStop(Relay, Now, Out);
    return;
  }
  if (Now >= Relay.WaitingSince + Hold) {
    this->finish(Relay, Relay.refusal(), "no engine could take it", Now, Out);
    return;
  }
  // Engines that refused the request may accept it at the next check.
  Relay.NotRunOn.clear();
  this->scheduleCheck(Relay, Now);
}

void RelaysPlugin::contentQuarantined(Fingerprint, Time, Actions &) {
  // Requests are not ended here, because this may be called while one of their
  // attempts ends.
  this->HasNewQuarantine = true;
}

bool RelaysPlugin::passQuarantine(RunningRelay &Relay, Time Now, Actions &Out) {
  switch (this->Crashes->decide(Relay.Head, Now)) {
  case ContentDecision::Send:
    Relay.UndecidedSince = Never;
    return true;
  case ContentDecision::Wait:
    this->awaitDecision(Relay, Now, Out);
    return false;
  case ContentDecision::Refuse:
    this->finishQuarantined(Relay, Now, Out);
    return false;
  }
  return true;
}

void RelaysPlugin::awaitDecision(RunningRelay &Relay, Time Now, Actions &Out) {
  Relay.AwaitsTurn = false;
  if (Relay.UndecidedSince == Never)
    Relay.UndecidedSince = Now;
  if (Now >= Relay.UndecidedSince + MaxUndecidedWait ||
      Relay.Deadline - Now < MinAttemptTime) {
    this->finishQuarantined(Relay, Now, Out);
    return;
  }
  if (!this->canEndBeforeStop(Relay, UnknownTime, Now)) {
    this->finishForStop(Relay, Now, Out);
    return;
  }
  Relay.NextAttemptAt = Now + this->Options.WaitRetryInterval;
  this->scheduleCheck(Relay, Now);
}

void RelaysPlugin::finishNewlyQuarantined(Time Now, Actions &Out) {
  if (!std::exchange(this->HasNewQuarantine, false))
    return;
  for (const RequestId &Id : this->Running.ids()) {
    RunningRelay *Relay = this->Running.find(Id);
    // An answer that arrives shows that the engine survived the start.
    if (Relay && !Relay->isAnswerArriving() &&
        this->Crashes->mustEnd(Relay->Head))
      this->finishQuarantined(*Relay, Now, Out);
  }
}

void RelaysPlugin::finishQuarantined(RunningRelay &Relay, Time Now,
                                     Actions &Out) {
  if (Relay.LiveAttempt)
    Relay.RanOn.push_back(Relay.LiveAttempt->Engine);
  this->finish(Relay, Relay.refusal(),
               "this content crashed engines and is not run", Now, Out,
               QuarantineRetryAfter);
}

void RelaysPlugin::finish(RunningRelay &Relay, RefusalKind Kind,
                          std::string_view Reason, Time Now, Actions &Out,
                          std::optional<Duration> RetryAfter) {
  const RequestId Id = Relay.Head.Id;
  if (Relay.LiveAttempt)
    this->cancelAttempt(Relay, Now, Out);
  this->Memory->release(Id, Now, Out);
  this->Selector->forget(Id, Now);
  if (Relay.Began) {
    logEnd(Relay, "broken_off", Reason, Now, Out);
    Out.add(GatewayAction(BreakRelay{Id}));
  } else if (Relay.KeptFailure) {
    logEnd(Relay, "failure_delivered", Reason, Now, Out);
    Out.add(GatewayAction(DeliverFailure{Id, *Relay.KeptFailure}));
  } else {
    logEnd(Relay, name(Kind), Reason, Now, Out);
    Out.add(GatewayAction(
        RefuseRelay{Id, Kind,
                    Kind == RefusalKind::NotRun
                        ? RetryAfter.value_or(this->Options.DefaultRetryAfter)
                        : Duration(0),
                    std::string(Reason)}));
  }
  this->Running.remove(Id);
}

void RelaysPlugin::refuse(const RelayHead &Head, RefusalKind Kind,
                          Duration RetryAfter, std::string_view Reason,
                          Time Now, Actions &Out) {
  logRefused(Head, Kind, Reason, *this->RouteState, Now, Out);
  Out.add(GatewayAction(
      RefuseRelay{Head.Id, Kind, RetryAfter, std::string(Reason)}));
}

void RelaysPlugin::callerGone(const RequestId &Id, Time Now, Actions &Out) {
  RunningRelay *Relay = this->Running.find(Id);
  if (!Relay)
    return;
  if (Relay->LiveAttempt)
    this->cancelAttempt(*Relay, Now, Out);
  this->Memory->release(Id, Now, Out);
  this->Selector->forget(Id, Now);
  logEnd(*Relay, "caller_gone", "", Now, Out);
  this->Running.remove(Id);
}

void RelaysPlugin::check(RunningRelay &Relay, Time Now, Actions &Out) {
  const Duration Slack =
      Relay.LiveAttempt ? this->Options.DeadlineGrace : Duration(0);
  if (Now >= Relay.Deadline + Slack) {
    const bool Sent = Relay.LiveAttempt || Relay.mayHaveRun();
    this->finish(Relay, Sent ? RefusalKind::TimedOut : RefusalKind::NotRun,
                 Relay.IsLimitedByRoute ? "the route's time limit"
                                        : "the caller's time",
                 Now, Out);
    return;
  }
  if (Now >= this->Stop->finalAnswersAt()) {
    this->finishBeforeExit(Relay, Now, Out);
    return;
  }
  if (Relay.LiveAttempt && Now >= Relay.AnswerTimeoutAt) {
    if (!this->isSlowButAlive(Relay, Now)) {
      this->abandonLiveAttempt(Relay, Now, Out);
      return;
    }
    Relay.AnswerTimeoutAt = Now + this->Options.LivenessWindow;
  }
  if (Relay.awaitsSending() && Now >= Relay.NextAttemptAt) {
    this->send(Relay, Now, Out);
    return;
  }
  this->scheduleCheck(Relay, Now);
}

bool RelaysPlugin::isSlowButAlive(const RunningRelay &Relay, Time Now) const {
  const auto Found = this->LastAnswers.find(Relay.LiveAttempt->Engine);
  return Found != this->LastAnswers.end() &&
         Now < Found->second + this->Options.LivenessWindow &&
         Now < Relay.LiveAttempt->SentAt + this->Options.MaxAnswerTimeout;
}

void RelaysPlugin::abandonLiveAttempt(RunningRelay &Relay, Time Now,
                                      Actions &Out) {
  Relay.AnswerTimeoutAt = Never;
  const bool OneMore = Relay.RanOn.size() + 1 < Relay.Terms.Attempts;
  std::vector<UpstreamId> Excluded = Relay.RanOn;
  Excluded.push_back(Relay.LiveAttempt->Engine);
  // An attempt is only abandoned if the request can run elsewhere. A host that
  // stops waits on: another engine would have less time for the whole answer.
  if (!OneMore || this->mayOutlastStop(Relay) ||
      !willBeDispatched(this->Selector->choose(
          engineRequirements(Relay, Excluded, Now), Now)) ||
      !this->Allowance.tryAcquire(Relay.Service, this->budgetShare(), Now)) {
    this->scheduleCheck(Relay, Now);
    return;
  }
  Out.add(GatewayAction(CancelRelay{Relay.LiveAttempt->Id}));
  const RelayAttempt Lost = this->endAttempt(
      Relay, RelayBroken{RelayBroken::Why::Silent, false, std::nullopt}, Now,
      Out);
  Relay.RanOn.push_back(Lost.Engine);
  this->send(Relay, Now, Out);
}

Time RelaysPlugin::wakeTime(const RunningRelay &Relay) const {
  Time Result = Relay.Deadline +
                (Relay.LiveAttempt ? this->Options.DeadlineGrace : Duration(0));
  if (Relay.LiveAttempt)
    Result = std::min(Result, Relay.AnswerTimeoutAt);
  return std::min(Result, this->Stop->finalAnswersAt());
}

void RelaysPlugin::scheduleCheck(const RunningRelay &Relay, Time Now) {
  this->NextCheck = std::min(this->NextCheck, this->wakeTime(Relay));
  if (!Relay.awaitsSending())
    return;
  const Time Pause =
      Relay.AwaitsTurn ? Now : Now + this->Options.WaitRetryInterval;
  this->NextCheck =
      std::min(this->NextCheck, std::max(Relay.NextAttemptAt, Pause));
}

Duration RelaysPlugin::answerTimeout(const RunningRelay &Relay,
                                     const SelectedEngine &Chosen) const {
  const double Expected =
      std::max(inSeconds(Chosen.Predicted), inSeconds(Relay.Terms.Objective));
  return fromSeconds(Expected * this->Options.AnswerTimeoutFactor) +
         this->Options.AnswerTimeoutMargin;
}

double RelaysPlugin::budgetShare() const {
  return hostShare(*this->Members, *this->Active);
}

ServiceId RelaysPlugin::serviceFor(const RouteEntry &Route) {
  double Sum = 0;
  for (const WeightedService &Candidate : Route.Split)
    Sum += Candidate.Weight;
  double Left = this->RandomSource->fraction() * Sum;
  for (const WeightedService &Candidate : Route.Split) {
    if (Left < Candidate.Weight)
      return Candidate.Service;
    Left -= Candidate.Weight;
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
                  {"active_hosts", "crashes", "departure", "engine_limits",
                   "engine_load", "engine_memory", "engine_reach",
                   "engine_signals", "engines", "membership", "routes"},
                  RelaysPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<RelaysPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
