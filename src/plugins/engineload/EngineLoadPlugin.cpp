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
constexpr std::uint32_t ShortUrgency = 2;
constexpr std::uint32_t LongUrgency = 5;

Duration fromMilliseconds(double Value) {
  return Duration(static_cast<Duration::rep>(Value * 1e3));
}

PlacementWeights weightsFrom(const Settings &Values) {
  const std::string_view In = "placement";
  PlacementWeights Result;
  Result.PositionMs = Values.fraction(In, "position_ms");
  Result.RunningMs = Values.fraction(In, "running_ms");
  Result.CrowdedMs = Values.fraction(In, "crowded_ms");
  Result.EasyRunning =
      static_cast<std::uint32_t>(Values.whole(In, "easy_running"));
  Result.MostRunning =
      static_cast<std::uint32_t>(Values.whole(In, "most_running"));
  Result.FullMs = Values.fraction(In, "full_ms");
  Result.LongestPartMs = Values.fraction(In, "longest_part_ms");
  Result.HarmMs = Values.fraction(In, "harm_ms");
  Result.MostHelpers = Values.whole(In, "most_helpers");
  return Result;
}

} // namespace

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
  this->Weights = weightsFrom(Values);
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

std::optional<EngineChosen>
EngineLoadPlugin::choose(const EngineWanted &Wanted, Time Now) {
  const EngineParameters *Model = this->parametersOf(Wanted.Service);
  std::vector<EngineState> States = this->states(Wanted, Model, false, Now);
  // Better one that failed lately than none.
  if (States.empty())
    States = this->states(Wanted, Model, true, Now);
  if (States.empty())
    return std::nullopt;
  return this->chooseAmong(States, Wanted, Model);
}

std::optional<EngineChosen>
EngineLoadPlugin::chooseAmong(std::span<const EngineState> States,
                              const EngineWanted &Wanted,
                              const EngineParameters *Model) {
  const double ReadMs =
      Model ? readMs(*Model, Wanted.PromptTokens) : UnknownWorkMs;
  const std::uint64_t Tokens = Wanted.PromptTokens + Wanted.OutputTokens;
  const PromptSize Size = promptSize(Wanted.PromptTokens);
  const bool Joint = Size == PromptSize::Middle || Size == PromptSize::Long;
  const Placed Place = Model && Joint
                           ? placeLong(States, ReadMs, Tokens, this->Weights)
                           : placeShort(States, ReadMs, Tokens, this->Weights);
  EngineChosen Result;
  Result.Engine = States[Place.At].Engine->Record.Id;
  for (const std::size_t At : Place.Helpers) {
    const EngineRecord &Helper = States[At].Engine->Record;
    Result.Helpers.push_back({Helper.Id, Helper.At, ""});
  }
  if (Model) {
    Result.Predicted = fromMilliseconds(Place.FirstTokenMs);
    Result.Urgency = Joint ? LongUrgency : ShortUrgency;
  }
  return Result;
}

std::vector<EngineState>
EngineLoadPlugin::states(const EngineWanted &Wanted,
                         const EngineParameters *Model, bool Avoided,
                         Time Now) {
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
                                      const EngineParameters *Model,
                                      Time Now) {
  EngineState Result;
  Result.Engine = &Each;
  const auto Found = this->Loads.find(Each.Record.Id);
  const EngineLoad None;
  const EngineLoad &Load = Found == this->Loads.end() ? None : Found->second;
  Result.Running = Load.reading() + Load.writing();
  Result.ShortRunning = Load.shortRunning();
  if (Model) {
    Result.BacklogMs = Load.backlogMs(Now);
    Result.PassMs = writePassMs(*Model, Load.writing(),
                                Load.writing() * WriterContextTokens);
    const std::uint64_t Used = Load.memoryTokens();
    Result.FreeTokens =
        Used < Model->MemoryTokens ? Model->MemoryTokens - Used : 0;
  } else {
    Result.BacklogMs = UnknownWorkMs * Result.Running /
                       std::max(Each.Record.Slots, 1U);
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
  this->noteChange(Now);
}

void EngineLoadPlugin::add(const RelayTry &Each, Time Now) {
  const EngineParameters *Model = this->parametersOf(Each.Service);
  const auto Parts = static_cast<double>(Each.Helpers.size() + 1);
  LoadItem Item;
  Item.Try = Each.Id;
  Item.ReadMs = Model ? readMs(*Model, Each.PromptTokens) / Parts : 0;
  Item.Size = promptSize(Each.PromptTokens);
  LoadItem Part = Item;
  Item.MemoryTokens = Each.PromptTokens + Each.OutputTokens;
  this->Loads[Each.Engine].add(Item, Now);
  for (const JointEngine &Helper : Each.Helpers)
    this->Loads[Helper.Engine].add(Part, Now);
}

void EngineLoadPlugin::tryBegan(const RelayTry &Each, Time Now, Actions &) {
  this->Loads[Each.Engine].began(Each.Id, Now);
  for (const JointEngine &Helper : Each.Helpers)
    this->Loads[Helper.Engine].remove(Each.Id, Now);
  this->noteChange(Now);
}

void EngineLoadPlugin::tryEnded(const RelayTry &Each, const RelayOutcome &,
                                Time Now, Actions &) {
  this->remove(Each, Now);
}

void EngineLoadPlugin::tryCancelled(const RelayTry &Each, Time Now,
                                    Actions &) {
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
  for (auto &[Id, Load] : this->Loads)
    Load.forgetPeer(Changed.Listing.Id);
}

void EngineLoadPlugin::takePeerWork(const HostId &From, const EngineWork &Work,
                                    Time Now) {
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
  for (const auto &[Id, Load] : this->Loads)
    if (Load.hasOwn())
      Work.Items.push_back(Load.ownWork(Id, Now));
  for (const HostId &Peer : this->Members->livePeers())
    Out.add(SendToPeer{Peer, Work});
}

std::vector<SettingDeclaration> EngineLoadPlugin::settings() {
  constexpr auto Fraction = SettingKind::Fraction;
  const std::string In = "engine_load";
  const std::string Place = "placement";
  return {
      {In, "tell_interval", SettingKind::Span, "100ms",
       "Peers are told at most so often what this host has running on engines; "
       "short beside the reading of a prompt.",
       1e3, 60e6},
      {In, "jitter_ms", SettingKind::Fraction, "10",
       "Engines whose predicted first tokens are no further apart than this "
       "(milliseconds) are chosen among at random, as all hosts see alike.",
       0, 1000},
      {In, "other_zone_ms", SettingKind::Fraction, "4",
       "What an engine in another data centre must be better by "
       "(milliseconds): the way there and back, and what the bytes cost.",
       0, 1000},
      {Place, "position_ms", Fraction, "10",
       "How much later (milliseconds) a short prompt's first token may be on "
       "an engine one place further to the front of the common order; short "
       "ones gather there.",
       0, 1000},
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
      {Place, "full_ms", Fraction, "1000",
       "What a full engine, or one short of memory, counts (milliseconds).", 0,
       100000},
      {Place, "longest_part_ms", Fraction, "200",
       "A prompt is read on so many engines that no part takes longer than "
       "this (milliseconds): an answer nearby may pause by 250 ms.",
       1, 100000},
      {Place, "harm_ms", Fraction, "60",
       "What a short request counts (milliseconds) that a part of a longer "
       "prompt would hold up.",
       0, 100000},
      {Place, "most_helpers", SettingKind::Whole, "16",
       "Engines that help to read one prompt, at most.", 0, 64},
  };
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
