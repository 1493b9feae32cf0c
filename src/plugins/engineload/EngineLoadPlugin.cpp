#include "plugins/engineload/EngineLoadPlugin.h"

#include "base/Visitor.h"
#include "gateway/RequestClass.h"
#include "kernel/PluginRegistry.h"
#include "plugins/engineload/ReadCost.h"

#include <algorithm>
#include <limits>

namespace banyanpick {

namespace {

/// What one request more costs where no model of the work is declared: the
/// mean work of a booking call.
constexpr double UnknownWorkMs = 40;

/// A writer's mean context, in tokens, where it is not known: a short prompt
/// and its answer.
constexpr std::uint64_t WriterContextTokens = 6000;

/// Of 0 to 9, 0 first; admission to a full batch goes by it.
std::uint32_t urgencyOf(PromptSize Size) {
  constexpr std::uint32_t Short = 2;
  constexpr std::uint32_t Middle = 4;
  constexpr std::uint32_t Long = 5;
  if (Size == PromptSize::Long)
    return Long;
  return Size == PromptSize::Middle ? Middle : Short;
}

/// Share of the time left that a prompt which is late may be read in; its
/// answer is written in what remains.
constexpr double LateShare = 0.55;

Duration fromMilliseconds(double Value) {
  return Duration(static_cast<Duration::rep>(Value * 1e3));
}

double inMilliseconds(Duration Value) {
  return static_cast<double>(Value.count()) / 1e3;
}

} // namespace

PlacementWeights placementWeights(const Settings &Values) {
  const std::string_view In = "placement";
  PlacementWeights Result;
  Result.PositionMs = Values.fraction(In, "position_ms");
  Result.FrontRunning = Values.fraction(In, "front_running");
  Result.LongRoom = Values.fraction(In, "long_room");
  Result.RunningMs = Values.fraction(In, "running_ms");
  Result.CrowdedMs = Values.fraction(In, "crowded_ms");
  Result.EasyRunning =
      static_cast<std::uint32_t>(Values.whole(In, "easy_running"));
  Result.MostRunning =
      static_cast<std::uint32_t>(Values.whole(In, "most_running"));
  Result.FullMs = Values.fraction(In, "full_ms");
  Result.SwiftPartMs = Values.fraction(In, "swift_part_ms");
  Result.PauseMs = Values.fraction(In, "pause_ms");
  Result.PauseCostMs = Values.fraction(In, "pause_cost_ms");
  Result.LongPauseMs = Values.fraction(In, "long_pause_ms");
  Result.LongestPartMs = Values.fraction(In, "longest_part_ms");
  Result.BudgetShare = Values.fraction(In, "budget_share");
  Result.MostHeldUp =
      static_cast<std::uint32_t>(Values.whole(In, "most_held_up"));
  Result.MostHelpers = Values.whole(In, "most_helpers");
  return Result;
}

void EngineLoadPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view In = "engine_load";
  this->Offered = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Declared = &Context.services().get<RouteView>();
  this->Trust = &Context.services().get<EngineTrustView>();
  this->Numbers = &Context.random();
  this->OwnZone = Context.self().Zone;
  this->TellInterval = Values.span(In, "tell_interval");
  this->JitterMs = Values.fraction(In, "jitter_ms");
  this->OtherZoneMs = Values.fraction(In, "other_zone_ms");
  this->Weights = placementWeights(Values);
  this->Demand = LongDemand(Values.span("placement", "demand_memory"),
                            Values.fraction("placement", "demand_most_ms"));
  Context.services().provide<EngineSelector>(*this);
  Context.services().list<RelayObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
  Context.services().list<MembershipObserver>().add(*this);
}

void EngineLoadPlugin::start(Time, Actions &) {}

void EngineLoadPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What,
      [&](const PeerMessageReceived &Is) {
        if (const auto *Work = std::get_if<EngineWork>(&Is.Message.Body))
          this->takePeerWork(Is.Message.From, *Work, Now);
      },
      [](const auto &) {});
  if (Now >= this->NextTelling)
    this->tell(Now, Out);
}

std::optional<EngineChosen> EngineLoadPlugin::choose(const EngineWanted &Wanted,
                                                     Time Now) {
  const EngineParameters *Model = this->parametersOf(Wanted.Service);
  std::vector<EngineState> States = this->states(Wanted, Model, false, Now);
  // Better one that failed lately than none.
  if (States.empty())
    States = this->states(Wanted, Model, true, Now);
  if (States.empty())
    return std::nullopt;
  return this->chooseAmong(States, Wanted, Model, Now);
}

std::optional<EngineChosen>
EngineLoadPlugin::chooseAmong(std::span<const EngineState> States,
                              const EngineWanted &Wanted,
                              const EngineParameters *Model, Time Now) {
  const double ReadMs =
      Model ? readMs(*Model, Wanted.PromptTokens) : UnknownWorkMs;
  const std::uint64_t Tokens = Wanted.PromptTokens + Wanted.OutputTokens;
  const PromptSize Size = promptSize(Wanted.PromptTokens);
  PlacementTimes Times;
  Times.ObjectiveMs = inMilliseconds(Wanted.Objective - Wanted.Waited);
  Times.BudgetMs = Times.ObjectiveMs * this->Weights.BudgetShare;
  Times.LateMs = inMilliseconds(Wanted.Left) * LateShare;
  std::uint32_t SwiftRunning = 0;
  for (const EngineState &Each : States)
    SwiftRunning += Each.SwiftRunning;
  const std::size_t Front =
      Model ? frontEngines(States.size(), this->Demand.total(Now), SwiftRunning,
                           this->Weights)
            : States.size();
  const bool Huge = Model && Tokens > Model->MemoryTokens;
  if (Huge) {
    const auto Place = placeHuge(States, ReadMs, Tokens, Model->MemoryTokens,
                                 Times, this->Weights);
    if (!Place)
      return std::nullopt;
    return chosen(States, *Place, Model, Size);
  }
  const bool Long = Model && Size == PromptSize::Long;
  const Placed Place =
      Long ? placeLong(States, ReadMs, Tokens, Times, this->Weights)
           : placeSwift(States, Front, ReadMs, Tokens, this->Weights);
  return chosen(States, Place, Model, Size);
}

EngineChosen EngineLoadPlugin::chosen(std::span<const EngineState> States,
                                      const Placed &Place,
                                      const EngineParameters *Model,
                                      PromptSize Size) {
  EngineChosen Result;
  Result.Engine = States[Place.At].Engine->Record.Id;
  for (const std::size_t At : Place.Helpers) {
    const EngineRecord &Helper = States[At].Engine->Record;
    const bool Keeps = Result.Helpers.size() < Place.Keepers;
    Result.Helpers.push_back(
        {Helper.Id, Helper.At, "", Keeps ? Place.KeptTokens : 0});
  }
  if (Model) {
    Result.Predicted = fromMilliseconds(Place.FirstTokenMs);
    Result.Urgency = urgencyOf(Size);
  }
  return Result;
}

std::vector<EngineState> EngineLoadPlugin::states(const EngineWanted &Wanted,
                                                  const EngineParameters *Model,
                                                  bool Avoided, Time Now) {
  std::vector<EngineState> Result;
  std::size_t Position = 0;
  for (const KnownEngine *Each : this->Directory->ofService(Wanted.Service)) {
    const bool Out = Each->Standing == EngineStanding::Leaving ||
                     (Each->Standing == EngineStanding::Missing && !Avoided) ||
                     std::ranges::count(Wanted.Excluded, Each->Record.Id) != 0;
    if (Out || (!Avoided && this->Trust->isAvoided(Each->Record.Id, Now)))
      continue;
    Result.push_back(this->stateOf(*Each, Model, Now));
    Result.back().Position = Position++;
  }
  return Result;
}

EngineState EngineLoadPlugin::stateOf(const KnownEngine &Each,
                                      const EngineParameters *Model, Time Now) {
  EngineState Result;
  Result.Engine = &Each;
  const auto Found = this->Loads.find(Each.Record.Id);
  const EngineLoad None;
  const EngineLoad &Load = Found == this->Loads.end() ? None : Found->second;
  Result.Running = Load.reading() + Load.writing();
  Result.SwiftRunning = Load.swiftRunning();
  Result.LongWriting = Load.longWriting();
  if (Model) {
    Result.BacklogMs = Load.backlogMs(Now);
    Result.PassMs = writePassMs(*Model, Load.writing(),
                                Load.writing() * WriterContextTokens);
    const std::uint64_t Used = Load.memoryTokens();
    Result.FreeTokens =
        Used < Model->MemoryTokens ? Model->MemoryTokens - Used : 0;
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

const EngineParameters *
EngineLoadPlugin::parametersOf(const ServiceId &Service) const {
  const RouteTable *Routes = this->Declared->routes();
  const ServiceEntry *Entry = Routes ? Routes->service(Service) : nullptr;
  return Entry && Entry->Engine ? &*Entry->Engine : nullptr;
}

void EngineLoadPlugin::trySent(const RelayTry &Each, Time Now, Actions &) {
  this->add(Each, Now);
  const EngineParameters *Model = this->parametersOf(Each.Service);
  if (Model && promptSize(Each.PromptTokens) == PromptSize::Long)
    this->Demand.note(readMs(*Model, Each.PromptTokens), Now);
  this->noteChange(Now);
}

void EngineLoadPlugin::add(const RelayTry &Each, Time Now) {
  const EngineParameters *Model = this->parametersOf(Each.Service);
  const bool ListsItself =
      !Each.Helpers.empty() && Each.Helpers.front().Engine == Each.Engine;
  const auto Parts =
      static_cast<double>(Each.Helpers.size() + (ListsItself ? 0 : 1));
  LoadItem Item;
  Item.Try = Each.Id;
  Item.ReadMs = Model ? readMs(*Model, Each.PromptTokens) / Parts : 0;
  Item.Size = promptSize(Each.PromptTokens);
  LoadItem Part = Item;
  Item.MemoryTokens = ListsItself ? Each.Helpers.front().Tokens
                                  : Each.PromptTokens + Each.OutputTokens;
  this->Loads[Each.Engine].add(Item, Now);
  for (const JointEngine &Helper : Each.Helpers) {
    Part.MemoryTokens = Helper.Tokens;
    if (Helper.Engine != Each.Engine)
      this->Loads[Helper.Engine].add(Part, Now);
  }
}

void EngineLoadPlugin::tryBegan(const RelayTry &Each, Time Now, Actions &) {
  this->Loads[Each.Engine].began(Each.Id, Now);
  for (const JointEngine &Helper : Each.Helpers) {
    if (Helper.Engine == Each.Engine)
      continue;
    // What it keeps stays there while the answer is written.
    if (Helper.Tokens > 0)
      this->Loads[Helper.Engine].began(Each.Id, Now);
    else
      this->Loads[Helper.Engine].remove(Each.Id, Now);
  }
  this->noteChange(Now);
}

void EngineLoadPlugin::tryEnded(const RelayTry &Each, const RelayOutcome &,
                                Time Now, Actions &) {
  this->remove(Each, Now);
}

void EngineLoadPlugin::tryCancelled(const RelayTry &Each, Time Now, Actions &) {
  this->remove(Each, Now);
}

void EngineLoadPlugin::remove(const RelayTry &Each, Time Now) {
  this->Loads[Each.Engine].remove(Each.Id, Now);
  for (const JointEngine &Helper : Each.Helpers)
    this->Loads[Helper.Engine].remove(Each.Id, Now);
  this->noteChange(Now);
}

void EngineLoadPlugin::engineGone(const UpstreamId &Id, Time, Actions &) {
  const auto Found = this->Loads.find(Id);
  if (Found != this->Loads.end() && !Found->second.hasOwn())
    this->Loads.erase(Found);
}

void EngineLoadPlugin::memberChanged(const Member &Changed, Time, Actions &) {
  if (Changed.State != MemberState::Dead)
    return;
  this->Demand.forgetPeer(Changed.Listing.Id);
  for (auto &[Id, Load] : this->Loads)
    Load.forgetPeer(Changed.Listing.Id);
}

void EngineLoadPlugin::takePeerWork(const HostId &From, const EngineWork &Work,
                                    Time Now) {
  this->Demand.takePeer(From, Work.LongReads, Now);
  for (auto &[Id, Load] : this->Loads)
    Load.forgetPeer(From);
  for (const EngineWork::Item &Each : Work.Items)
    this->Loads[Each.Engine].takePeer(From, Each, Now);
  std::erase_if(this->Loads,
                [](const auto &Each) { return Each.second.isIdle(); });
}

void EngineLoadPlugin::noteChange(Time Now) {
  if (this->NextTelling != Never)
    return;
  this->NextTelling = std::max(Now, this->LastTelling + this->TellInterval);
}

void EngineLoadPlugin::tell(Time Now, Actions &Out) {
  this->NextTelling = Never;
  this->LastTelling = Now;
  EngineWork Work;
  Work.LongReads = this->Demand.own(Now);
  for (const auto &[Id, Load] : this->Loads)
    if (Load.hasOwn())
      Work.Items.push_back(Load.ownWork(Id, Now));
  for (const HostId &Peer : this->Members->livePeers())
    Out.add(SendToPeer{Peer, Work});
}

namespace {

/// How swift prompts are spread.
std::vector<SettingDeclaration> swiftSettings() {
  constexpr auto Fraction = SettingKind::Fraction;
  const std::string Place = "placement";
  return {
      {Place, "position_ms", Fraction, "40",
       "How much sooner (milliseconds) a swift prompt's first token must be on "
       "an engine one place behind the front; those behind are for long ones.",
       0, 1000},
      {Place, "front_running", Fraction, "6",
       "Swift requests on each engine of the front; with more the front grows.",
       1, 1000},
      {Place, "long_room", Fraction, "1.3",
       "Engines kept clear for long prompts, against those that they keep "
       "busy.",
       0, 10},
      {Place, "demand_memory", SettingKind::Span, "3s",
       "How fast the front follows the demand for long prompts.", 100e3, 60e6},
      {Place, "demand_most_ms", Fraction, "6000",
       "What one long prompt counts in that demand, at most (milliseconds).", 0,
       1e6},
      {Place, "running_ms", Fraction, "2",
       "What a request that runs on an engine counts (milliseconds) for one "
       "more, up to easy_running,",
       0, 1000},
      {Place, "crowded_ms", Fraction, "15",
       "and for each beyond: at twelve and more a pass takes so much longer "
       "that pauses show.",
       0, 1000},
      {Place, "easy_running", SettingKind::Whole, "8",
       "Requests on one engine that hardly slow each other.", 0, 1000},
      {Place, "most_running", SettingKind::Whole, "15",
       "An engine with so many counts as full: its batch holds one more.", 1,
       1000},
  };
}

/// How longer prompts are shared, and the bounds for both.
std::vector<SettingDeclaration> longSettings() {
  constexpr auto Fraction = SettingKind::Fraction;
  const std::string Place = "placement";
  return {
      {Place, "full_ms", Fraction, "1000",
       "What a full engine, or one short of memory, counts (milliseconds).", 0,
       100000},
      {Place, "swift_part_ms", Fraction, "60",
       "Short and middle prompts that take longer to read (milliseconds) are "
       "shared with clear engines.",
       1, 100000},
      {Place, "pause_ms", Fraction, "220",
       "A pass that takes longer (milliseconds) makes short answers pause too "
       "long, at 250 ms.",
       1, 100000},
      {Place, "pause_cost_ms", Fraction, "25",
       "What each request held up by such a pass counts (milliseconds).", 0,
       100000},
      {Place, "long_pause_ms", Fraction, "600",
       "A pass that takes longer (milliseconds), and the part of another "
       "prompt "
       "that may join it, make long answers pause too long, at a second.",
       1, 100000},
      {Place, "longest_part_ms", Fraction, "300",
       "A prompt is read on so many engines that no part takes longer than "
       "this (milliseconds): other long answers may pause by a second.",
       1, 100000},
      {Place, "budget_share", Fraction, "0.7",
       "Share of its objective that a long prompt may need before engines "
       "with swift requests are taken for it, too.",
       0, 10},
      {Place, "most_held_up", SettingKind::Whole, "12",
       "Swift requests that one long prompt may hold up to be in time: it is "
       "worth some twelve of them.",
       0, 1000},
      {Place, "most_helpers", SettingKind::Whole, "16",
       "Engines that help to read one prompt, at most.", 0, 64},
  };
}

} // namespace

std::vector<SettingDeclaration> placementSettings() {
  std::vector<SettingDeclaration> Result = swiftSettings();
  const std::vector<SettingDeclaration> More = longSettings();
  Result.insert(Result.end(), More.begin(), More.end());
  return Result;
}

std::vector<SettingDeclaration> EngineLoadPlugin::settings() {
  const std::string In = "engine_load";
  std::vector<SettingDeclaration> Result = {
      {In, "tell_interval", SettingKind::Span, "30ms",
       "Peers are told at most so often what this host has running on engines; "
       "short beside the reading of a prompt.",
       1e3, 60e6},
      {In, "jitter_ms", SettingKind::Fraction, "25",
       "Engines whose predicted first tokens are no further apart than this "
       "(milliseconds) are chosen among at random, as all hosts see alike.",
       0, 1000},
      {In, "other_zone_ms", SettingKind::Fraction, "4",
       "What an engine in another data centre must be better by "
       "(milliseconds): the way there and back, and what the bytes cost.",
       0, 1000},
  };
  const std::vector<SettingDeclaration> More = placementSettings();
  Result.insert(Result.end(), More.begin(), More.end());
  return Result;
}

namespace {

const PluginRegistration
    Registration({"engine_load",
                  {"engines", "engine_trust", "membership", "routes"},
                  EngineLoadPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineLoadPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
