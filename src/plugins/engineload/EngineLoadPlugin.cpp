#include "plugins/engineload/EngineLoadPlugin.h"

#include "base/Visitor.h"
#include "gateway/RequestClass.h"
#include "kernel/PluginRegistry.h"
#include "plugins/engineload/ReadCost.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// What one request more costs where no model of the work is declared: the
/// mean work of a booking call.
constexpr double UnknownWorkMs = 40;

/// A writer's mean context, in tokens, where it is not known: a short prompt
/// and its answer.
constexpr std::uint64_t WriterContextTokens = 6000;

Duration fromMilliseconds(double Value) {
  return Duration(static_cast<Duration::rep>(Value * 1e3));
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
  std::optional<Candidate> Found = this->best(Wanted, false, Now);
  // Better one that failed lately than none.
  if (!Found)
    Found = this->best(Wanted, true, Now);
  if (!Found)
    return std::nullopt;
  EngineChosen Result;
  Result.Engine = Found->Engine->Record.Id;
  Result.Predicted = fromMilliseconds(Found->FirstEventMs);
  return Result;
}

std::optional<EngineLoadPlugin::Candidate>
EngineLoadPlugin::best(const EngineWanted &Wanted, bool Avoided, Time Now) {
  const EngineParameters *Model = this->parametersOf(Wanted.Service);
  std::optional<Candidate> Result;
  for (const KnownEngine *Each : this->Directory->ofService(Wanted.Service)) {
    const bool Out = Each->Standing == EngineStanding::Leaving ||
                     (Each->Standing == EngineStanding::Missing && !Avoided) ||
                     std::ranges::count(Wanted.Excluded, Each->Record.Id) != 0;
    if (Out || (!Avoided && this->Trust->isAvoided(Each->Record.Id, Now)))
      continue;
    const Candidate Next = this->weigh(*Each, Wanted, Model, Now);
    if (!Result || Next.CostMs < Result->CostMs)
      Result = Next;
  }
  return Result;
}

EngineLoadPlugin::Candidate
EngineLoadPlugin::weigh(const KnownEngine &Each, const EngineWanted &Wanted,
                        const EngineParameters *Model, Time Now) {
  Candidate Result;
  Result.Engine = &Each;
  const auto Found = this->Loads.find(Each.Record.Id);
  const EngineLoad None;
  const EngineLoad &Load = Found == this->Loads.end() ? None : Found->second;
  if (Model) {
    const double OwnMs = readMs(*Model, Wanted.PromptTokens);
    const double PassMs = writePassMs(*Model, Load.writing(),
                                      Load.writing() * WriterContextTokens);
    Result.FirstEventMs = Load.backlogMs(Now) + OwnMs + PassMs;
    Result.CostMs = Result.FirstEventMs;
    const std::uint64_t Needed =
        Load.memoryTokens() + Wanted.PromptTokens + Wanted.OutputTokens;
    // Where memory is short the newest is thrown out and read again.
    if (Needed > Model->MemoryTokens)
      Result.CostMs += 1000;
  } else {
    const std::uint32_t Busy = Load.reading() + Load.writing();
    Result.CostMs = UnknownWorkMs * Busy / std::max(Each.Record.Slots, 1U);
  }
  if (Each.Record.Zone != this->OwnZone)
    Result.CostMs += this->OtherZoneMs;
  // Hosts that see the same do not all choose the same.
  Result.CostMs += this->Numbers->fraction() * this->JitterMs;
  return Result;
}

const EngineParameters *
EngineLoadPlugin::parametersOf(const ServiceId &Service) const {
  const RouteTable *Routes = this->Declared->routes();
  const ServiceEntry *Entry = Routes ? Routes->service(Service) : nullptr;
  return Entry && Entry->Engine ? &*Entry->Engine : nullptr;
}

void EngineLoadPlugin::trySent(const RelayTry &Each, Time Now, Actions &) {
  const EngineParameters *Model = this->parametersOf(Each.Service);
  LoadItem Item;
  Item.Try = Each.Id;
  Item.ReadMs = Model ? readMs(*Model, Each.PromptTokens) : 0;
  Item.MemoryTokens = Each.PromptTokens + Each.OutputTokens;
  Item.IsLong = promptSize(Each.PromptTokens) == PromptSize::Long;
  this->Loads[Each.Engine].add(Item, Now);
  this->noteChange(Now);
}

void EngineLoadPlugin::tryBegan(const RelayTry &Each, Time Now, Actions &) {
  this->Loads[Each.Engine].began(Each.Id, Now);
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
  const auto Found = this->Loads.find(Each.Engine);
  if (Found == this->Loads.end())
    return;
  Found->second.remove(Each.Id, Now);
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
  const std::string In = "engine_load";
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
