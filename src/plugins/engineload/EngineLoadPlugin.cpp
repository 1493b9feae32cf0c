#include "plugins/engineload/EngineLoadPlugin.h"

#include "base/EventNumbers.h"
#include "base/Milliseconds.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "kernel/ReportRequest.h"
#include "plugins/engineload/Deferral.h"
#include "plugins/engineload/PrefillCost.h"
#include "plugins/engineload/SharedPlacement.h"
#include "plugins/engineload/ShortPlacement.h"

#include <algorithm>
#include <limits>

namespace banyanpick {

namespace {

/// Assumed cost of one more request where no engine model is declared: the mean
/// work of a booking call.
constexpr double UnknownWorkMs = 40;

/// Urgency from 0 (first) to 9. Engines admit requests to a full batch by
/// urgency.
constexpr std::uint32_t RetriedUrgency = 1;
constexpr std::uint32_t ShortUrgency = 2;
constexpr std::uint32_t SharedUrgency = 5;

/// Share of the prefill budget beside a full batch that one short prompt may
/// take. Other prompts may join the same pass.
constexpr double ShortPrefillShare = 0.5;

/// Share of the gap bound that is assumed as the prefill budget where a full
/// batch leaves none.
constexpr double MinPrefillBudgetShare = 0.1;

/// Bounds on the poll interval of a prompt that awaits its turn. A poll costs
/// some 20 us. Peers report a free queue within their tell_interval.
constexpr double MinPollMs = 3;
constexpr double MaxPollMs = 20;

/// How long an engine that refused a memory reservation counts as full. A usual
/// answer ends within this time.
constexpr milliseconds MemoryRefusalTtl(400);

/// A request waits at this host for an engine that accepts requests again
/// within this time.
constexpr milliseconds MaxLocalWait(50);

/// Retries after a backoff are spread over this additional share of the time,
/// so that they do not cause the next backoff.
constexpr double RetrySpread = 0.2;

/// Retry time when only evacuated engines are left. Nobody knows the end of an
/// evacuation; engines of other zones may register meanwhile.
constexpr seconds EvacuatedRetryAfter(2);

/// Retry time when no engine is in a home region. Only a new configuration or
/// new engines end this.
constexpr seconds NoHomeRetryAfter(5);

/// Lifetime of a queue entry that is not renewed.
constexpr milliseconds QueueEntryTtl(300);

/// Returns when the first of the engines accepts requests again, or the maximum
/// duration when this is unknown for all of them.
Duration opensAfter(std::span<const EngineBlocked> Closed) {
  Duration Result = Duration::max();
  for (const EngineBlocked &Closure : Closed)
    Result = std::min(Result, Closure.AvailableAfter.value_or(Duration::max()));
  return Result;
}

std::size_t countClosed(std::span<const EngineBlocked> Closed,
                        EngineBlocked::Why Reason) {
  return static_cast<std::size_t>(
      std::ranges::count(Closed, Reason, &EngineBlocked::Reason));
}

DeferralTimes deferralTimes(const EngineRequirements &Requirements) {
  return {Requirements.Objective, Requirements.Waited, Requirements.Left,
          Requirements.MayRetryLater};
}

} // namespace

void EngineLoadPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view Section = "engine_load";
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Active = &Context.services().get<ActiveHostsView>();
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Declared = &Context.services().get<RouteView>();
  this->Trust = &Context.services().get<EngineTrustView>();
  this->Quota = &Context.services().get<EngineQuota>();
  this->Gate = &Context.services().get<EngineGate>();
  this->Regions = &Context.services().get<RegionView>();
  this->RandomNumbers = &Context.random();
  this->OwnZone = Context.self().Zone;
  this->Reports = WorkReportSchedule(
      Values.span(Section, "tell_interval"),
      static_cast<double>(Values.whole(Section, "tell_rate")));
  this->ReportSoonMs = Values.fraction(Section, "tell_soon_ms");
  this->Slowdowns = EngineSlowdowns({Values.span(Section, "pace_ask_interval"),
                                     Values.span(Section, "pace_least_pause"),
                                     Values.span(Section, "pace_keep")});
  this->LateShare = Values.fraction(Section, "late_share");
  this->LateBy = Values.span(Section, "late_by");
  this->JitterMs = Values.fraction(Section, "jitter_ms");
  this->OtherZoneMs = Values.fraction(Section, "other_zone_ms");
  this->NewConnectionMs = Values.fraction(Section, "new_connection_ms");
  this->Connections = IdleConnections(Values.span(Section, "connection_idle"));
  this->Lost = LostAnswers(Values.span(Section, "lost_answer_counts"));
  this->Weights = placementWeights(Values);
  this->View =
      WarmUp({Values.span(Section, "warm_up_limit"),
              Values.span(Section, "warm_up_ask_interval"),
              static_cast<std::uint32_t>(Values.whole(Section, "slow_start"))});
  this->Queue = PromptQueue(QueueEntryTtl, this->Weights.LateShare);
  this->Admission = admissionOrder(Values.text("placement", "admission"));
  Context.services().provide<EngineSelector>(*this);
  Context.services().list<RelayObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
  Context.services().list<MembershipObserver>().add(*this);
  Context.services().list<MemoryObserver>().add(*this);
}

void EngineLoadPlugin::start(Time Now, Actions &Out) {
  this->beginWarmUp(ViewLoss::Started, Now, Out);
}

void EngineLoadPlugin::handle(const Event &Received, Time Now, Actions &Out) {
  this->updateView(Now, Out);
  match(
      Received,
      [&](const PeerMessageReceived &Incoming) {
        if (const auto *Work = std::get_if<EngineWork>(&Incoming.Message.Body))
          this->takePeerWork(Incoming.Message.From, *Work, Now);
      },
      [&](const GatewayEvent &Change) {
        if (const auto *Reported = std::get_if<EngineReported>(&Change))
          this->takeReport(Reported->Report, Now, Out);
      },
      [](const auto &) {});
  for (const UpstreamId &Engine : this->Slowdowns.due(Now))
    this->askReport(Engine, Now, Out);
  for (const RelayAttempt &Ended : this->Lost.takeDue(Now))
    this->remove(Ended, Now);
  if (Now >= this->Reports.next())
    this->reportWork(Now, Out);
}

Time EngineLoadPlugin::nextWake() const {
  return std::min({this->Reports.next(), this->Slowdowns.nextDue(),
                   this->Lost.nextDue(), this->View.nextWake()});
}

void EngineLoadPlugin::askReport(const UpstreamId &Engine, Time Now,
                                 Actions &Out) const {
  requestReport(Engine, *this->Directory, *this->Gate, *this->Quota, Now, Out);
}

void EngineLoadPlugin::takeReport(const EngineReport &Report, Time Now,
                                  Actions &Out) {
  this->takeOwnReport(Report, Now);
  if (!this->Slowdowns.takeReport(Report, Now))
    return;
  Out.log(logEvent(events::EngineSlowdownChanged)
              .with("engine", Report.Engine.Value)
              .with("pace", Report.Slowdown)
              .with("waiting", Report.Waiting)
              .with("running", Report.Running)
              .build());
  this->noteChange(true, Now);
}

void EngineLoadPlugin::noteFirstToken(const RelayAttempt &Attempt, Time Now,
                                      Actions &Out) {
  const Duration Took = Now - Attempt.SentAt;
  const bool IsLate =
      Attempt.Predicted > Duration(0) &&
      Took > Attempt.Predicted + this->LateBy &&
      inSeconds(Took) > inSeconds(Attempt.Predicted) * this->LateShare;
  if (!IsLate)
    return;
  if (this->Slowdowns.noteLate(Attempt.Engine, Now))
    this->askReport(Attempt.Engine, Now, Out);
}

EngineChoice EngineLoadPlugin::choose(const EngineRequirements &Requirements,
                                      Time Now) {
  const EngineParameters *Model = this->parametersOf(Requirements.Service);
  const EngineShare Share = this->Active->shareOf(Requirements.Service);
  Candidates Found = this->candidates(Requirements, Model, Share, false, Now);
  // An engine of another host's share is better than none, and so is an engine
  // that failed recently.
  if (Found.States.empty() && !Share.Parts.empty())
    Found = this->candidates(Requirements, Model, EngineShare(), false, Now);
  if (Found.States.empty())
    Found = this->candidates(Requirements, Model, EngineShare(), true, Now);
  if (Found.States.empty() && !Found.Closed.empty())
    return this->chooseClosed(Found.Closed, Requirements);
  if (Found.States.empty() && this->isWithoutHome(Requirements))
    return RetryLater{RetryLater::Why::NoHome, NoHomeRetryAfter};
  EngineChoice Result =
      this->chooseAmong(Found.States, Requirements, Model, Now);
  if (auto *Chosen = std::get_if<SelectedEngine>(&Result)) {
    Chosen->AtLimit = countClosed(Found.Closed, EngineBlocked::Why::AtLimit);
    Chosen->BackingOff =
        countClosed(Found.Closed, EngineBlocked::Why::BackingOff);
  }
  return Result;
}

bool EngineLoadPlugin::isWithoutHome(
    const EngineRequirements &Requirements) const {
  if (!Requirements.Homes)
    return false;
  const auto All = this->Directory->ofService(Requirements.Service);
  return !All.empty() &&
         std::ranges::none_of(All, [&](const RegisteredEngine *Engine) {
           return this->Regions->isHome(Engine->Record.Zone,
                                        *Requirements.Homes);
         });
}

EngineChoice
EngineLoadPlugin::chooseClosed(std::span<const EngineBlocked> Closed,
                               const EngineRequirements &Requirements) {
  Duration Soonest = opensAfter(Closed);
  if (Soonest == Duration::max() &&
      countClosed(Closed, EngineBlocked::Why::Evacuated) > 0)
    Soonest = EvacuatedRetryAfter;
  const bool OutlastsDeadline = Soonest >= Requirements.Left;
  // Wait for an engine that opens soon. Callers that have retried once also
  // wait, because they are not asked to retry again.
  if (Soonest == Duration::max() || Soonest <= MaxLocalWait ||
      (!Requirements.MayRetryLater && !OutlastsDeadline))
    return NoEngine{};
  const double Draw = this->RandomNumbers->fraction();
  if (OutlastsDeadline)
    return RetryLater{
        RetryLater::Why::Blocked,
        fromSeconds(inSeconds(Soonest) * (1 + Draw * RetrySpread))};
  return RetryLater{RetryLater::Why::Blocked,
                    retryAfter(deferralTimes(Requirements), Draw, Soonest)};
}

void EngineLoadPlugin::forget(const RequestId &Request, Time Now) {
  if (this->Queue.drop(Request.Value))
    this->Reports.noteUrgent(Now);
}

PromptWork EngineLoadPlugin::workOf(const EngineRequirements &Requirements,
                                    const EngineParameters *Model) {
  PromptWork Result;
  Result.PromptTokens = Requirements.PromptTokens;
  Result.Tokens = Requirements.PromptTokens + Requirements.OutputTokens;
  Result.PrefillMs =
      Model ? prefillMs(*Model, Requirements.PromptTokens) : UnknownWorkMs;
  Result.MaxGapMs = boundMs(Requirements.MaxEventGap);
  Result.ValueMs = Model ? valueMs(*Model, Requirements.PromptTokens,
                                   Requirements.OutputTokens)
                         : UnknownWorkMs;
  return Result;
}

EngineChoice
EngineLoadPlugin::chooseAmong(std::span<const EngineState> States,
                              const EngineRequirements &Requirements,
                              const EngineParameters *Model, Time Now) {
  if (States.empty())
    return NoEngine{};
  const PromptWork Work = workOf(Requirements, Model);
  if (Model && !this->isShort(*Model, Requirements.Service, Work.PrefillMs))
    return this->Admission == AdmissionOrder::Plan
               ? this->choosePlanned(States, Requirements, Work, *Model, Now)
               : this->chooseShared(States, Requirements, Work, *Model, Now);
  const std::uint32_t Slots =
      Model ? Model->Slots : States.front().Engine->Record.Slots;
  const std::size_t Front =
      Model ? this->frontOf(States, Slots, Now) : States.size();
  const PromptPlacement Place =
      Model && this->View.isRunning()
          ? this->placeSpread(States, Slots, Work)
          : placeShort(States, Front, Slots, Work, this->Weights);
  const DeferralTimes Times = deferralTimes(Requirements);
  if (Model && !mayExceedMemory(this->Weights) &&
      Work.Tokens > States[Place.Chosen].FreeTokens)
    return this->deferShort(Requirements);
  if (Model && Requirements.MayRetryLater &&
      wouldBeLate(States[Place.Chosen], Place, *Model, Times, this->Weights))
    return RetryLater{RetryLater::Why::TooLate,
                      retryAfter(Times, this->RandomNumbers->fraction())};
  SelectedEngine Result = toChosen(States, Place, Model, true);
  if (Model && !Requirements.MayRetryLater)
    Result.Urgency = RetriedUrgency;
  return Result;
}

EngineChoice
EngineLoadPlugin::deferShort(const EngineRequirements &Requirements) {
  if (Requirements.MayRetryLater)
    return RetryLater{RetryLater::Why::TooLate,
                      retryAfter(deferralTimes(Requirements),
                                 this->RandomNumbers->fraction())};
  return AwaitTurn{fromMilliseconds(MaxPollMs)};
}

EngineChoice EngineLoadPlugin::chooseShared(
    std::span<const EngineState> States, const EngineRequirements &Requirements,
    const PromptWork &Work, const EngineParameters &Model, Time Now) {
  PlacementTimes Times;
  Times.ObjectiveMs =
      inMilliseconds(Requirements.Objective - Requirements.Waited);
  Times.LateMs = inMilliseconds(Requirements.Left) * PrefillShare;
  const std::optional<PromptPlacement> Place =
      this->placeLong(States, Work, Model.MemoryTokens, Times);
  const double Scarcity = slotScarcity(States);
  if (Place && cannotBeServed(*Place, deferralTimes(Requirements), Scarcity)) {
    this->forget(Requirements.Request, Now);
    return RetryLater{RetryLater::Why::TooLate,
                      retryAfter(deferralTimes(Requirements), 0)};
  }
  // The orders without a plan that serve comparison defer nothing.
  const bool MayDefer = this->Admission == AdmissionOrder::Queue;
  if (!Place ||
      (MayDefer &&
       !isWorthServingNow(*Place, Work, deferralTimes(Requirements), Scarcity)))
    return this->deferLong(Requirements, Scarcity, Now);
  EngineWork::QueuedPrompt Own;
  Own.Request = Requirements.Request.Value;
  Own.Tokens = Requirements.PromptTokens;
  Own.PrefillMs = Work.PrefillMs;
  Own.NeededMs = Place->FirstTokenMs - Place->StartMs;
  Own.LeftMs = Times.ObjectiveMs;
  if (this->Admission == AdmissionOrder::Arrival)
    orderByArrival(Own, Requirements.Waited);
  const bool IsReady = Place->AheadMs <= this->Weights.AheadMs;
  if (IsReady && this->isFirstInQueue(States, Own, Now)) {
    this->Queue.drop(Own.Request);
    return toChosen(States, *Place, &Model, false);
  }
  if (this->Queue.note(Own, Now))
    this->Reports.noteUrgent(Now);
  const double UntilMs = Place->AheadMs - this->Weights.AheadMs;
  return AwaitTurn{fromMilliseconds(std::clamp(UntilMs, MinPollMs, MaxPollMs))};
}

EngineChoice EngineLoadPlugin::deferLong(const EngineRequirements &Requirements,
                                         double Scarcity, Time Now) {
  // Leave the queue, so that prompts that can be sent are not blocked.
  this->forget(Requirements.Request, Now);
  const DeferralTimes Times = deferralTimes(Requirements);
  if (shouldRetryLater(Times, Scarcity))
    return RetryLater{RetryLater::Why::TooLate,
                      retryAfter(Times, this->RandomNumbers->fraction())};
  return AwaitTurn{fromMilliseconds(MaxPollMs)};
}

std::optional<PromptPlacement>
EngineLoadPlugin::placeLong(std::span<const EngineState> States,
                            const PromptWork &Work, std::uint64_t EngineTokens,
                            const PlacementTimes &Times) const {
  std::optional<PromptPlacement> Whole;
  if (Work.Tokens <= EngineTokens)
    Whole = placeOnPredictable(States, Work, Times, this->Weights);
  if (Whole && Work.Tokens <= States[Whole->Chosen].FreeTokens)
    return Whole;
  const std::optional<PromptPlacement> Reserved =
      placeWithReservations(States, Work, EngineTokens, Times, this->Weights);
  return Reserved || !mayExceedMemory(this->Weights) ? Reserved : Whole;
}

bool EngineLoadPlugin::isFirstInQueue(std::span<const EngineState> States,
                                      const EngineWork::QueuedPrompt &Own,
                                      Time Now) const {
  const std::size_t Before = this->Queue.rank(Own, this->Members->self(), Now);
  if (Before == 0)
    return true;
  // The prompt may use engines that the prompts ahead of it leave free.
  const auto Free = static_cast<std::size_t>(
      std::ranges::count_if(States, [&](const EngineState &State) {
        return State.BacklogMs <= this->Weights.AheadMs &&
               State.Answers.empty();
      }));
  return Free > Before * (this->Weights.MaxHelpers + 1);
}

bool EngineLoadPlugin::isShort(const EngineParameters &Model,
                               const ServiceId &Service, double PrefillMs) {
  const RouteTable *Routes = this->Declared->routes();
  const double MaxGapMs =
      Routes ? this->Gaps.shortestMs(Service, *Routes) : UnboundedMs;
  const double BudgetMs = prefillBudgetMs(Model, MaxGapMs);
  return PrefillMs <= std::max(BudgetMs, MaxGapMs * MinPrefillBudgetShare) *
                          ShortPrefillShare;
}

SelectedEngine EngineLoadPlugin::toChosen(std::span<const EngineState> States,
                                          const PromptPlacement &Place,
                                          const EngineParameters *Model,
                                          bool IsShort) {
  SelectedEngine Result;
  Result.Engine = States[Place.Chosen].Engine->Record.Id;
  for (const std::size_t At : Place.Helpers) {
    const EngineRecord &Helper = States[At].Engine->Record;
    const bool Reserves = Result.Helpers.size() < Place.ReservingHelpers;
    Result.Helpers.push_back(
        {Helper.Id, Helper.At, "", Reserves ? Place.ReservedTokens : 0});
  }
  if (Model) {
    Result.Predicted = fromMilliseconds(Place.FirstTokenMs);
    Result.Urgency = IsShort ? ShortUrgency : SharedUrgency;
  }
  return Result;
}

EngineLoadPlugin::Candidates EngineLoadPlugin::candidates(
    const EngineRequirements &Requirements, const EngineParameters *Model,
    const EngineShare &Share, bool IncludeAvoided, Time Now) {
  Candidates Found;
  std::vector<EngineState> &Result = Found.States;
  const auto Engines = this->Directory->ofService(Requirements.Service);
  Result.reserve(Engines.size());
  const EngineLoad Empty;
  // Both are ordered by id, so no search is needed for the load of an engine.
  auto NextLoad = this->Loads.cbegin();
  for (const RegisteredEngine *Registered : Engines) {
    if (!Share.takes(Registered->NameHash))
      continue;
    if (Requirements.Homes &&
        !this->Regions->isHome(Registered->Record.Zone, *Requirements.Homes))
      continue;
    const bool IsAvoided =
        Registered->Standing == EngineStanding::Missing ||
        this->Trust->isAvoided(Registered->Record.Id, Now) ||
        this->Gate->isDiscouraged(Registered->Record.Id, Now);
    const bool IsExcluded =
        Registered->Standing == EngineStanding::Leaving ||
        (IsAvoided && !IncludeAvoided) ||
        std::ranges::count(Requirements.Excluded, Registered->Record.Id) != 0;
    if (IsExcluded)
      continue;
    if (const auto Closed = this->Gate->blocked(Registered->Record.Id, Now)) {
      if (Closed->Reason == EngineBlocked::Why::AtLimit)
        this->Quota->requestQuota(Registered->Record.Id, Now);
      Found.Closed.push_back(*Closed);
      continue;
    }
    const UpstreamId &Id = Registered->Record.Id;
    while (NextLoad != this->Loads.cend() && NextLoad->first < Id)
      ++NextLoad;
    const bool HasLoad =
        NextLoad != this->Loads.cend() && NextLoad->first == Id;
    Result.push_back(this->stateOf(
        *Registered, HasLoad ? NextLoad->second : Empty, Model, Now));
    Result.back().Position = Result.size() - 1;
  }
  if (this->Weights.ZoneFront)
    orderByZone(Result);
  if (Model)
    this->assumeLoads(Result, *Model, Now);
  weighAnswersByScarcity(Result);
  return Found;
}

EngineState EngineLoadPlugin::stateOf(const RegisteredEngine &Registered,
                                      const EngineLoad &Load,
                                      const EngineParameters *Model, Time Now) {
  EngineState Result;
  Result.Engine = &Registered;
  Result.IsLimited = this->Quota->isLimited(Registered.Record.Id);
  Result.Running = Load.prefilling(Now) + Load.decoding(Now);
  const std::uint32_t Slots = Model ? Model->Slots : Registered.Record.Slots;
  Result.FreeSlots = Slots > Result.Running ? Slots - Result.Running : 0;
  Result.Answers = Load.answers(Now);
  for (GapGroup &Group : Result.Answers)
    Group.GapMs *= this->Weights.GapShare;
  if (Model) {
    Result.Slowdown = this->Slowdowns.factorOf(Registered.Record.Id, Now);
    Result.BacklogMs = Load.backlogMs(Now) * Result.Slowdown;
    Result.Overdue = Load.isOverdue(Now);
    Result.PassMs =
        decodePassMs(*Model, Load.decoding(Now), Load.contextTokens(Now)) *
        Result.Slowdown;
    const std::uint64_t Used = Load.memoryTokens(Now);
    const auto Usable =
        static_cast<std::uint64_t>(static_cast<double>(Model->MemoryTokens) *
                                   (1 - this->Weights.MemoryMargin));
    const bool HasMemory =
        Used < Usable && !this->isShortOfMemory(Registered.Record.Id, Now);
    Result.FreeTokens = HasMemory ? Usable - Used : 0;
  } else {
    Result.BacklogMs =
        UnknownWorkMs * Result.Running / std::max(Registered.Record.Slots, 1U);
    Result.FreeTokens = std::numeric_limits<std::uint64_t>::max();
  }
  if (Registered.Record.Zone != this->OwnZone) {
    Result.ExtraMs += this->OtherZoneMs;
    Result.Zone = this->zoneNumber(Registered.Record.Zone);
  }
  if (this->Weights.ZoneFront)
    Result.ShortRunning = Load.shortRunning(Now);
  if (this->NewConnectionMs > 0 &&
      !this->Connections.hasIdle(Registered.Record.Id, Now))
    Result.ConnectMs = this->NewConnectionMs;
  // Jitter, so that hosts with the same view do not all choose the same engine.
  Result.ExtraMs += this->RandomNumbers->fraction() * this->JitterMs;
  return Result;
}

void EngineLoadPlugin::memoryRefused(const UpstreamId &Engine, Time Now) {
  this->ShortOfMemory[Engine] = Now + MemoryRefusalTtl;
  std::erase_if(this->ShortOfMemory,
                [&](const auto &Refusal) { return Now >= Refusal.second; });
}

bool EngineLoadPlugin::isShortOfMemory(const UpstreamId &Engine,
                                       Time Now) const {
  const auto Found = this->ShortOfMemory.find(Engine);
  return Found != this->ShortOfMemory.end() && Now < Found->second;
}

const EngineParameters *
EngineLoadPlugin::parametersOf(const ServiceId &Service) const {
  const RouteTable *Routes = this->Declared->routes();
  const ServiceEntry *Entry = Routes ? Routes->service(Service) : nullptr;
  return Entry && Entry->Engine ? &*Entry->Engine : nullptr;
}

void EngineLoadPlugin::attemptSent(const RelayAttempt &Attempt, Time Now,
                                   Actions &Out) {
  Out.count("engine_connections",
            this->Connections.take(Attempt.Engine, Now) ? "reused" : "new");
  this->logFront(Out);
  this->add(Attempt, Now);
  this->Queue.drop(Attempt.Request.Value);
  if (Attempt.Helpers.empty())
    this->noteChange(this->isReportedSoon(Attempt), Now);
  else
    this->Reports.noteUrgent(Now);
}

void EngineLoadPlugin::add(const RelayAttempt &Attempt, Time Now) {
  const EngineParameters *Model = this->parametersOf(Attempt.Service);
  const bool IsOwnHelper = !Attempt.Helpers.empty() &&
                           Attempt.Helpers.front().Engine == Attempt.Engine;
  const auto Parts =
      static_cast<double>(Attempt.Helpers.size() + (IsOwnHelper ? 0 : 1));
  LoadItem Item;
  Item.Attempt = Attempt.Id;
  Item.PrefillMs = Model ? prefillMs(*Model, Attempt.PromptTokens) / Parts : 0;
  LoadItem Part = Item;
  Item.IsShort =
      Model && this->isShort(*Model, Attempt.Service,
                             prefillMs(*Model, Attempt.PromptTokens));
  if (Model)
    Item.Answer = {boundMs(Attempt.MaxEventGap),
                   valueMs(*Model, Attempt.PromptTokens, Attempt.OutputTokens)};
  Item.MemoryTokens = IsOwnHelper ? Attempt.Helpers.front().Tokens
                                  : Attempt.PromptTokens + Attempt.OutputTokens;
  this->Loads[Attempt.Engine].add(Item, Now);
  for (const HelperEngine &Helper : Attempt.Helpers) {
    Part.MemoryTokens = Helper.Tokens;
    if (Helper.Engine != Attempt.Engine)
      this->Loads[Helper.Engine].add(Part, Now);
  }
}

void EngineLoadPlugin::attemptBegan(const RelayAttempt &Attempt, Time Now,
                                    Actions &Out) {
  this->noteFirstToken(Attempt, Now, Out);
  this->View.noteAnswer(Attempt.Engine);
  this->Loads[Attempt.Engine].startDecoding(Attempt.Id, Now);
  for (const HelperEngine &Helper : Attempt.Helpers) {
    if (Helper.Engine == Attempt.Engine)
      continue;
    // The reserved memory stays in use while the answer is decoded.
    if (Helper.Tokens > 0)
      this->Loads[Helper.Engine].startDecoding(Attempt.Id, Now);
    else
      this->Loads[Helper.Engine].remove(Attempt.Id, Now);
  }
  this->noteChange(this->isReportedSoon(Attempt), Now);
}

void EngineLoadPlugin::attemptEnded(const RelayAttempt &Attempt,
                                    const RelayOutcome &Outcome, Time Now,
                                    Actions &Out) {
  this->Connections.attemptEnded(Attempt.Engine, Outcome, Now);
  const EngineParameters *Model = this->parametersOf(Attempt.Service);
  const bool IsKept =
      Model && std::holds_alternative<RelayBroken>(Outcome) &&
      this->Lost.keep(Attempt, predictedEnd(Attempt, *Model), Now);
  if (IsKept)
    Out.count("lost_answers", "counted");
  else
    this->remove(Attempt, Now);
  // Peers need to know the effect on the engine before their next request.
  if (std::holds_alternative<RelayBroken>(Outcome) ||
      std::holds_alternative<RelayNeverSent>(Outcome))
    this->Reports.noteUrgent(Now);
}

void EngineLoadPlugin::attemptCancelled(const RelayAttempt &Attempt, Time Now,
                                        Actions &) {
  this->remove(Attempt, Now);
}

void EngineLoadPlugin::remove(const RelayAttempt &Attempt, Time Now) {
  this->Loads[Attempt.Engine].remove(Attempt.Id, Now);
  for (const HelperEngine &Helper : Attempt.Helpers)
    this->Loads[Helper.Engine].remove(Attempt.Id, Now);
  std::erase_if(this->Loads,
                [](const auto &Entry) { return Entry.second.isIdle(); });
  this->noteChange(this->isReportedSoon(Attempt), Now);
}

void EngineLoadPlugin::forgetProcess(const UpstreamId &Id, Time Now) {
  this->Connections.forget(Id);
  for (const RelayAttempt &Ended : this->Lost.takeOf(Id))
    this->remove(Ended, Now);
}

void EngineLoadPlugin::engineRestarted(const UpstreamId &Id, Time Now,
                                       Actions &) {
  this->forgetProcess(Id, Now);
}

void EngineLoadPlugin::engineRemoved(const UpstreamId &Id, Time Now,
                                     Actions &) {
  this->Slowdowns.forget(Id);
  this->View.forgetEngine(Id);
  this->ServiceOf.erase(Id);
  this->AreEnginesStale = true;
  this->ShortOfMemory.erase(Id);
  this->forgetProcess(Id, Now);
  const auto Found = this->Loads.find(Id);
  if (Found != this->Loads.end() && !Found->second.hasOwn())
    this->Loads.erase(Found);
}

namespace {

const PluginRegistration
    Registration({"engine_load",
                  {"active_hosts", "engines", "engine_limits", "engine_signals",
                   "engine_trust", "membership", "regions", "routes"},
                  EngineLoadPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineLoadPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
