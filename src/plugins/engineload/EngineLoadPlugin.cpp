#include "plugins/engineload/EngineLoadPlugin.h"

#include "base/EventNumbers.h"
#include "base/Milliseconds.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "plugins/engineload/Deferral.h"
#include "plugins/engineload/PrefillCost.h"
#include "plugins/engineload/SharedPlacement.h"
#include "plugins/engineload/ShortPlacement.h"

#include <algorithm>
#include <limits>

namespace banyanpick {

namespace {

/// What one request more costs where no model of the work is declared: the
/// mean work of a booking call.
constexpr double UnknownWorkMs = 40;

/// Of 0 to 9, 0 first; admission to a full batch goes by it.
constexpr std::uint32_t ReturnedUrgency = 1;
constexpr std::uint32_t ShortUrgency = 2;
constexpr std::uint32_t SharedUrgency = 5;

/// A short prompt takes no more of the room that a full batch leaves in the
/// shortest pause; others may come in the same pass.
constexpr double ShortShare = 0.5;

/// Share of that pause that is taken for room where a full batch leaves none.
constexpr double LeastRoomShare = 0.1;

/// Bounds on how soon a prompt that awaits its turn looks again: a look costs
/// some 20 us, and peers tell of a free lane within their tell_interval.
constexpr double ShortestLookMs = 3;
constexpr double LongestLookMs = 20;

/// An engine that refused to set memory aside is taken to have none for so
/// long: a usual answer ends within it.
constexpr milliseconds MemoryRefusalKeep(400);

/// A caller waits here for room at an engine that comes so soon.
constexpr milliseconds WorthWaiting(50);

/// Callers who come back when engines open come over so much more of the time,
/// so that they don't earn the next rest.
constexpr double OpenSpread = 0.2;

/// Entries of the lane that are not heard of again lapse after so long.
constexpr milliseconds LaneKeep(300);

/// When the first of the engines opens; the greatest duration when that is
/// known of none.
Duration opensAfter(std::span<const EngineBlocked> Closed) {
  Duration Result = Duration::max();
  for (const EngineBlocked &Each : Closed)
    Result = std::min(Result, Each.AvailableAfter.value_or(Duration::max()));
  return Result;
}

std::size_t countOf(std::span<const EngineBlocked> Closed,
                    EngineBlocked::Why Wanted) {
  return static_cast<std::size_t>(
      std::ranges::count(Closed, Wanted, &EngineBlocked::Is));
}

DeferralTimes deferralTimes(const EngineRequirements &Wanted) {
  return {Wanted.Objective, Wanted.Waited, Wanted.Left, Wanted.MayRetryLater};
}

} // namespace

void EngineLoadPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view In = "engine_load";
  this->Offered = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Active = &Context.services().get<ActiveHostsView>();
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Declared = &Context.services().get<RouteView>();
  this->Trust = &Context.services().get<EngineTrustView>();
  this->Room = &Context.services().get<EngineQuota>();
  this->Gate = &Context.services().get<EngineGate>();
  this->Numbers = &Context.random();
  this->OwnZone = Context.self().Zone;
  this->Tells =
      WorkReportSchedule(Values.span(In, "tell_interval"),
                         static_cast<double>(Values.whole(In, "tell_rate")));
  this->TellSoonMs = Values.fraction(In, "tell_soon_ms");
  this->Slowdowns = EngineSlowdowns({Values.span(In, "pace_ask_interval"),
                                     Values.span(In, "pace_least_pause"),
                                     Values.span(In, "pace_keep")});
  this->LateShare = Values.fraction(In, "late_share");
  this->LateBy = Values.span(In, "late_by");
  this->JitterMs = Values.fraction(In, "jitter_ms");
  this->OtherZoneMs = Values.fraction(In, "other_zone_ms");
  this->Weights = placementWeights(Values);
  this->Lane = PromptQueue(LaneKeep, this->Weights.LateShare);
  Context.services().provide<EngineSelector>(*this);
  Context.services().list<RelayObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
  Context.services().list<MembershipObserver>().add(*this);
  Context.services().list<MemoryObserver>().add(*this);
}

void EngineLoadPlugin::start(Time, Actions &) {}

void EngineLoadPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What,
      [&](const PeerMessageReceived &Is) {
        if (const auto *Work = std::get_if<EngineWork>(&Is.Message.Body))
          this->takePeerWork(Is.Message.From, *Work, Now);
      },
      [&](const GatewayEvent &Is) {
        if (const auto *Reported = std::get_if<EngineReported>(&Is))
          this->takeReport(Reported->Report, Now, Out);
      },
      [](const auto &) {});
  for (const UpstreamId &Engine : this->Slowdowns.due(Now))
    this->askReport(Engine, Now, Out);
  if (Now >= this->Tells.next())
    this->tell(Now, Out);
}

Time EngineLoadPlugin::nextWake() const {
  return std::min(this->Tells.next(), this->Slowdowns.nextDue());
}

void EngineLoadPlugin::askReport(const UpstreamId &Engine, Time Now,
                                 Actions &Out) const {
  // A question is a request, too, and an engine in need takes few or none.
  const bool Takes =
      !this->Room->isLimited(Engine) && !this->Gate->blocked(Engine, Now);
  if (!Takes)
    return;
  if (const RegisteredEngine *Known = this->Directory->find(Engine))
    Out.add(GatewayAction(AskReport{Engine, Known->Record.At}));
}

void EngineLoadPlugin::takeReport(const EngineReport &Report, Time Now,
                                  Actions &Out) {
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

void EngineLoadPlugin::noteFirstToken(const RelayAttempt &Each, Time Now,
                                      Actions &Out) {
  const Duration Took = Now - Each.SentAt;
  const bool Late =
      Each.Predicted > Duration(0) && Took > Each.Predicted + this->LateBy &&
      inSeconds(Took) > inSeconds(Each.Predicted) * this->LateShare;
  if (!Late)
    return;
  if (this->Slowdowns.noteLate(Each.Engine, Now))
    this->askReport(Each.Engine, Now, Out);
}

EngineChoice EngineLoadPlugin::choose(const EngineRequirements &Wanted,
                                      Time Now) {
  const EngineParameters *Model = this->parametersOf(Wanted.Service);
  const EngineShare Share = this->Active->shareOf(Wanted.Service);
  Candidates Found = this->candidates(Wanted, Model, Share, false, Now);
  // Better one of other hosts than none, and one that failed lately, too.
  if (Found.States.empty() && !Share.Parts.empty())
    Found = this->candidates(Wanted, Model, EngineShare(), false, Now);
  if (Found.States.empty())
    Found = this->candidates(Wanted, Model, EngineShare(), true, Now);
  if (Found.States.empty() && !Found.Closed.empty())
    return this->chooseClosed(Found.Closed, Wanted);
  EngineChoice Result = this->chooseAmong(Found.States, Wanted, Model, Now);
  if (auto *Chosen = std::get_if<SelectedEngine>(&Result)) {
    Chosen->AtLimit = countOf(Found.Closed, EngineBlocked::Why::AtLimit);
    Chosen->BackingOff = countOf(Found.Closed, EngineBlocked::Why::BackingOff);
  }
  return Result;
}

EngineChoice
EngineLoadPlugin::chooseClosed(std::span<const EngineBlocked> Closed,
                               const EngineRequirements &Wanted) {
  const Duration Soonest = opensAfter(Closed);
  const bool OutlastsIt = Soonest >= Wanted.Left;
  // One that opens in a moment is waited for. Callers who have come back once
  // wait, too, as they can't do so again.
  if (Soonest == Duration::max() || Soonest <= WorthWaiting ||
      (!Wanted.MayRetryLater && !OutlastsIt))
    return NoEngine{};
  const double Draw = this->Numbers->fraction();
  if (OutlastsIt)
    return RetryLater{
        RetryLater::Why::Blocked,
        fromSeconds(inSeconds(Soonest) * (1 + Draw * OpenSpread))};
  return RetryLater{RetryLater::Why::Blocked,
                    retryAfter(deferralTimes(Wanted), Draw, Soonest)};
}

void EngineLoadPlugin::forget(const RequestId &Request, Time Now) {
  if (this->Lane.drop(Request.Value))
    this->Tells.noteUrgent(Now);
}

PromptWork EngineLoadPlugin::workOf(const EngineRequirements &Wanted,
                                    const EngineParameters *Model) {
  PromptWork Result;
  Result.PromptTokens = Wanted.PromptTokens;
  Result.Tokens = Wanted.PromptTokens + Wanted.OutputTokens;
  Result.PrefillMs =
      Model ? prefillMs(*Model, Wanted.PromptTokens) : UnknownWorkMs;
  Result.PauseMs = boundMs(Wanted.MaxEventGap);
  Result.ValueMs =
      Model ? valueMs(*Model, Wanted.PromptTokens, Wanted.OutputTokens)
            : UnknownWorkMs;
  return Result;
}

EngineChoice EngineLoadPlugin::chooseAmong(std::span<const EngineState> States,
                                           const EngineRequirements &Wanted,
                                           const EngineParameters *Model,
                                           Time Now) {
  if (States.empty())
    return NoEngine{};
  const PromptWork Work = workOf(Wanted, Model);
  if (Model && !this->isShort(*Model, Wanted.Service, Work.PrefillMs))
    return this->chooseShared(States, Wanted, Work, *Model, Now);
  const std::uint32_t Slots =
      Model ? Model->Slots : States.front().Engine->Record.Slots;
  std::uint32_t ShortRunning = 0;
  if (Model)
    for (const auto &[Id, Load] : this->Loads)
      ShortRunning += Load.shortRunning(Now);
  const std::size_t Front =
      Model ? frontEngines(States.size(), ShortRunning, Slots, this->Weights)
            : States.size();
  const PromptPlacement Place =
      placeShort(States, Front, Slots, Work, this->Weights);
  const DeferralTimes Times = deferralTimes(Wanted);
  if (Model && Wanted.MayRetryLater &&
      wouldBeLate(States[Place.At], Place, *Model, Times, this->Weights))
    return RetryLater{RetryLater::Why::TooLate,
                      retryAfter(Times, this->Numbers->fraction())};
  SelectedEngine Result = chosen(States, Place, Model, true);
  if (Model && !Wanted.MayRetryLater)
    Result.Urgency = ReturnedUrgency;
  return Result;
}

EngineChoice EngineLoadPlugin::chooseShared(std::span<const EngineState> States,
                                            const EngineRequirements &Wanted,
                                            const PromptWork &Work,
                                            const EngineParameters &Model,
                                            Time Now) {
  PlacementTimes Times;
  Times.ObjectiveMs = inMilliseconds(Wanted.Objective - Wanted.Waited);
  Times.LateMs = inMilliseconds(Wanted.Left) * PrefillShare;
  const std::optional<PromptPlacement> Place =
      this->placeLong(States, Work, Model.MemoryTokens, Times);
  const double Scarcity = slotScarcity(States);
  if (Place && cannotBeServed(*Place, deferralTimes(Wanted), Scarcity)) {
    this->forget(Wanted.Request, Now);
    return RetryLater{RetryLater::Why::TooLate,
                      retryAfter(deferralTimes(Wanted), 0)};
  }
  if (!Place ||
      !isWorthServingNow(*Place, Work, deferralTimes(Wanted), Scarcity))
    return this->deferLong(Wanted, Scarcity, Now);
  EngineWork::Waiting Own;
  Own.Request = Wanted.Request.Value;
  Own.Tokens = Wanted.PromptTokens;
  Own.PrefillMs = Work.PrefillMs;
  Own.NeededMs = Place->FirstTokenMs - Place->StartMs;
  Own.LeftMs = Times.ObjectiveMs;
  const bool Ready = Place->AheadMs <= this->Weights.AheadMs;
  if (Ready && this->isItsTurn(States, Own, Now)) {
    this->Lane.drop(Own.Request);
    return chosen(States, *Place, &Model, false);
  }
  if (this->Lane.note(Own, Now))
    this->Tells.noteUrgent(Now);
  const double UntilMs = Place->AheadMs - this->Weights.AheadMs;
  return AwaitTurn{
      fromMilliseconds(std::clamp(UntilMs, ShortestLookMs, LongestLookMs))};
}

EngineChoice EngineLoadPlugin::deferLong(const EngineRequirements &Wanted,
                                         double Scarcity, Time Now) {
  // It takes no turn from others that can be sent.
  this->forget(Wanted.Request, Now);
  const DeferralTimes Times = deferralTimes(Wanted);
  if (shouldRetryLater(Times, Scarcity))
    return RetryLater{RetryLater::Why::TooLate,
                      retryAfter(Times, this->Numbers->fraction())};
  return AwaitTurn{fromMilliseconds(LongestLookMs)};
}

std::optional<PromptPlacement>
EngineLoadPlugin::placeLong(std::span<const EngineState> States,
                            const PromptWork &Work, std::uint64_t EngineTokens,
                            const PlacementTimes &Times) const {
  std::optional<PromptPlacement> Whole;
  if (Work.Tokens <= EngineTokens)
    Whole = placeOnPredictable(States, Work, Times, this->Weights);
  if (Whole && Work.Tokens <= States[Whole->At].FreeTokens)
    return Whole;
  const std::optional<PromptPlacement> Kept =
      placeWithReservations(States, Work, EngineTokens, Times, this->Weights);
  return Kept ? Kept : Whole;
}

bool EngineLoadPlugin::isItsTurn(std::span<const EngineState> States,
                                 const EngineWork::Waiting &Own,
                                 Time Now) const {
  const std::size_t Before = this->Lane.rank(Own, this->Members->self(), Now);
  if (Before == 0)
    return true;
  // Engines that those before it leave over are for it.
  const auto Free = static_cast<std::size_t>(
      std::ranges::count_if(States, [&](const EngineState &Each) {
        return Each.BacklogMs <= this->Weights.AheadMs && Each.Answers.empty();
      }));
  return Free > Before * (this->Weights.MaxHelpers + 1);
}

bool EngineLoadPlugin::isShort(const EngineParameters &Model,
                               const ServiceId &Service, double PrefillMs) {
  const RouteTable *Routes = this->Declared->routes();
  const double PauseMs =
      Routes ? this->Pauses.shortestMs(Service, *Routes) : UnboundedMs;
  const double Room = prefillBudgetMs(Model, PauseMs);
  return PrefillMs <= std::max(Room, PauseMs * LeastRoomShare) * ShortShare;
}

SelectedEngine EngineLoadPlugin::chosen(std::span<const EngineState> States,
                                        const PromptPlacement &Place,
                                        const EngineParameters *Model,
                                        bool IsShort) {
  SelectedEngine Result;
  Result.Engine = States[Place.At].Engine->Record.Id;
  for (const std::size_t At : Place.Helpers) {
    const EngineRecord &Helper = States[At].Engine->Record;
    const bool Keeps = Result.Helpers.size() < Place.ReservingHelpers;
    Result.Helpers.push_back(
        {Helper.Id, Helper.At, "", Keeps ? Place.ReservedTokens : 0});
  }
  if (Model) {
    Result.Predicted = fromMilliseconds(Place.FirstTokenMs);
    Result.Urgency = IsShort ? ShortUrgency : SharedUrgency;
  }
  return Result;
}

EngineLoadPlugin::Candidates
EngineLoadPlugin::candidates(const EngineRequirements &Wanted,
                             const EngineParameters *Model,
                             const EngineShare &Share, bool Avoided, Time Now) {
  Candidates Found;
  std::vector<EngineState> &Result = Found.States;
  for (const RegisteredEngine *Each :
       this->Directory->ofService(Wanted.Service)) {
    if (!Share.takes(Each->NameHash))
      continue;
    const bool Missing = Each->Standing == EngineStanding::Missing ||
                         this->Trust->isAvoided(Each->Record.Id, Now) ||
                         this->Gate->isDiscouraged(Each->Record.Id, Now);
    const bool Out = Each->Standing == EngineStanding::Leaving ||
                     (Missing && !Avoided) ||
                     std::ranges::count(Wanted.Excluded, Each->Record.Id) != 0;
    if (Out)
      continue;
    if (const auto Closed = this->Gate->blocked(Each->Record.Id, Now)) {
      if (Closed->Is == EngineBlocked::Why::AtLimit)
        this->Room->requestQuota(Each->Record.Id, Now);
      Found.Closed.push_back(*Closed);
      continue;
    }
    Result.push_back(this->stateOf(*Each, Model, Now));
    Result.back().Position = Result.size() - 1;
  }
  weighAnswersByScarcity(Result);
  return Found;
}

EngineState EngineLoadPlugin::stateOf(const RegisteredEngine &Each,
                                      const EngineParameters *Model, Time Now) {
  EngineState Result;
  Result.Engine = &Each;
  Result.IsLimited = this->Room->isLimited(Each.Record.Id);
  const auto Found = this->Loads.find(Each.Record.Id);
  const EngineLoad None;
  const EngineLoad &Load = Found == this->Loads.end() ? None : Found->second;
  Result.Running = Load.reading(Now) + Load.writing(Now);
  const std::uint32_t Slots = Model ? Model->Slots : Each.Record.Slots;
  Result.FreeSlots = Slots > Result.Running ? Slots - Result.Running : 0;
  Result.Answers = Load.answers(Now);
  for (GapGroup &Group : Result.Answers)
    Group.PauseMs *= this->Weights.PauseShare;
  if (Model) {
    Result.Slowdown = this->Slowdowns.of(Each.Record.Id, Now);
    Result.BacklogMs = Load.backlogMs(Now) * Result.Slowdown;
    Result.Overdue = Load.isOverdue(Now);
    Result.PassMs =
        decodePassMs(*Model, Load.writing(Now), Load.contextTokens(Now)) *
        Result.Slowdown;
    const std::uint64_t Used = Load.memoryTokens(Now);
    const bool HasMemory = Used < Model->MemoryTokens &&
                           !this->isShortOfMemory(Each.Record.Id, Now);
    Result.FreeTokens = HasMemory ? Model->MemoryTokens - Used : 0;
  } else {
    Result.BacklogMs =
        UnknownWorkMs * Result.Running / std::max(Each.Record.Slots, 1U);
    Result.FreeTokens = std::numeric_limits<std::uint64_t>::max();
  }
  if (Each.Record.Zone != this->OwnZone)
    Result.ExtraMs += this->OtherZoneMs;
  // Hosts that see the same do not all choose the same.
  Result.ExtraMs += this->Numbers->fraction() * this->JitterMs;
  return Result;
}

void EngineLoadPlugin::memoryRefused(const UpstreamId &Engine, Time Now) {
  this->ShortOfMemory[Engine] = Now + MemoryRefusalKeep;
  std::erase_if(this->ShortOfMemory,
                [&](const auto &Each) { return Now >= Each.second; });
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

void EngineLoadPlugin::attemptSent(const RelayAttempt &Each, Time Now,
                                   Actions &) {
  this->add(Each, Now);
  this->Lane.drop(Each.Request.Value);
  if (Each.Helpers.empty())
    this->noteChange(this->isToldSoon(Each), Now);
  else
    this->Tells.noteUrgent(Now);
}

void EngineLoadPlugin::add(const RelayAttempt &Each, Time Now) {
  const EngineParameters *Model = this->parametersOf(Each.Service);
  const bool ListsItself =
      !Each.Helpers.empty() && Each.Helpers.front().Engine == Each.Engine;
  const auto Parts =
      static_cast<double>(Each.Helpers.size() + (ListsItself ? 0 : 1));
  LoadItem Item;
  Item.Try = Each.Id;
  Item.PrefillMs = Model ? prefillMs(*Model, Each.PromptTokens) / Parts : 0;
  LoadItem Part = Item;
  Item.IsShort = Model && this->isShort(*Model, Each.Service,
                                        prefillMs(*Model, Each.PromptTokens));
  if (Model)
    Item.Answer = {boundMs(Each.MaxEventGap),
                   valueMs(*Model, Each.PromptTokens, Each.OutputTokens)};
  Item.MemoryTokens = ListsItself ? Each.Helpers.front().Tokens
                                  : Each.PromptTokens + Each.OutputTokens;
  this->Loads[Each.Engine].add(Item, Now);
  for (const HelperEngine &Helper : Each.Helpers) {
    Part.MemoryTokens = Helper.Tokens;
    if (Helper.Engine != Each.Engine)
      this->Loads[Helper.Engine].add(Part, Now);
  }
}

void EngineLoadPlugin::attemptBegan(const RelayAttempt &Each, Time Now,
                                    Actions &Out) {
  this->noteFirstToken(Each, Now, Out);
  this->Loads[Each.Engine].began(Each.Id, Now);
  for (const HelperEngine &Helper : Each.Helpers) {
    if (Helper.Engine == Each.Engine)
      continue;
    // What it keeps stays there while the answer is written.
    if (Helper.Tokens > 0)
      this->Loads[Helper.Engine].began(Each.Id, Now);
    else
      this->Loads[Helper.Engine].remove(Each.Id, Now);
  }
  this->noteChange(this->isToldSoon(Each), Now);
}

void EngineLoadPlugin::attemptEnded(const RelayAttempt &Each,
                                    const RelayOutcome &Outcome, Time Now,
                                    Actions &) {
  this->remove(Each, Now);
  // What comes of it for the engine, peers should know before their next
  // request.
  if (std::holds_alternative<RelayBroken>(Outcome) ||
      std::holds_alternative<RelayNeverSent>(Outcome))
    this->Tells.noteUrgent(Now);
}

void EngineLoadPlugin::attemptCancelled(const RelayAttempt &Each, Time Now,
                                        Actions &) {
  this->remove(Each, Now);
}

void EngineLoadPlugin::remove(const RelayAttempt &Each, Time Now) {
  this->Loads[Each.Engine].remove(Each.Id, Now);
  for (const HelperEngine &Helper : Each.Helpers)
    this->Loads[Helper.Engine].remove(Each.Id, Now);
  std::erase_if(this->Loads, [](const auto &Of) { return Of.second.isIdle(); });
  this->noteChange(this->isToldSoon(Each), Now);
}

void EngineLoadPlugin::engineRemoved(const UpstreamId &Id, Time, Actions &) {
  this->Slowdowns.forget(Id);
  this->ShortOfMemory.erase(Id);
  const auto Found = this->Loads.find(Id);
  if (Found != this->Loads.end() && !Found->second.hasOwn())
    this->Loads.erase(Found);
}

namespace {

const PluginRegistration
    Registration({"engine_load",
                  {"active_hosts", "engines", "engine_limits", "engine_signals",
                   "engine_trust", "membership", "routes"},
                  EngineLoadPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineLoadPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
