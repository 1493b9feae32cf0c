/// \file
/// The selection of engines while the view of their load is incomplete.
#include "base/EventNumbers.h"
#include "base/RendezvousHash.h"
#include "plugins/engineload/EngineLoadPlugin.h"
#include "plugins/engineload/PrefillCost.h"
#include "plugins/engineload/ShortPlacement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

namespace banyanpick {

namespace {

/// Number of engines drawn at random for each short prompt, of which the best
/// is chosen. More would let hosts with the same view choose the same engine,
/// fewer ignore what is known.
constexpr std::size_t DrawnEngines = 3;

/// Most receivers of work reports while the active hosts are not known.
constexpr std::size_t MaxFirstReceivers = 16;

std::uint32_t wholeRequests(double Requests) {
  constexpr double Most = 1e6;
  return static_cast<std::uint32_t>(std::lround(std::min(Requests, Most)));
}

/// Adds assumed requests to the state of an engine.
void assume(EngineState &State, const UnclaimedLoad &Assumed,
            const EngineParameters &Model) {
  const std::uint32_t Requests = wholeRequests(Assumed.Requests);
  State.Running += Requests;
  State.FreeSlots -= std::min(State.FreeSlots, Requests);
  const auto Tokens = static_cast<std::uint64_t>(
      std::min(Assumed.MemoryTokens, static_cast<double>(Model.MemoryTokens)));
  State.FreeTokens -= std::min(State.FreeTokens, Tokens);
  State.PassMs += decodePassMs(Model, Requests, Tokens);
}

} // namespace

void EngineLoadPlugin::beginWarmUp(ViewLoss Reason, Time Now, Actions &Out) {
  if (!this->View.begin(Reason, Now))
    return;
  Out.log(logEvent(events::WarmUpBegan).with("reason", nameOf(Reason)).build());
  this->Reports.noteUrgent(Now);
}

void EngineLoadPlugin::updateView(Time Now, Actions &Out) {
  if (this->View.noteAlive(Now))
    this->beginWarmUp(ViewLoss::Paused, Now, Out);
  const auto Sharers = this->Active->sharers();
  if (!std::ranges::equal(Sharers, this->KnownSharers)) {
    this->KnownSharers.assign(Sharers.begin(), Sharers.end());
    this->AreEnginesStale = true;
    if (this->View.takeSharers(Sharers, Now))
      this->beginWarmUp(ViewLoss::HostsChanged, Now, Out);
    // The new hosts need this host's work, and this host theirs.
    if (this->View.isRunning())
      this->Reports.noteUrgent(Now);
  }
  if (!this->View.isRunning() || Now < this->View.nextWake())
    return;
  if (std::exchange(this->AreEnginesStale, false))
    this->View.takeEngines(this->sharedEngines(), this->Members->self());
  for (const UpstreamId &Engine : this->View.due(Now))
    this->askReport(Engine, Now, Out);
  if (const auto Gained = this->View.update(Now))
    Out.log(logEvent(events::WarmUpEnded)
                .with("reason", nameOf(this->View.reason()))
                .with("by", nameOf(*Gained))
                .with("took_us", this->View.age(Now).count())
                .with("known", this->View.knownEngines())
                .with("of", this->View.engines())
                .build());
}

std::vector<UpstreamId> EngineLoadPlugin::sharedEngines() const {
  std::vector<UpstreamId> Result;
  for (const auto &[Id, Service] : this->ServiceOf) {
    const RegisteredEngine *Registered = this->Directory->find(Id);
    if (Registered && this->parametersOf(Service) &&
        this->Active->shareOf(Service).takes(Registered->NameHash))
      Result.push_back(Id);
  }
  return Result;
}

void EngineLoadPlugin::engineChanged(const RegisteredEngine &Changed, Time,
                                     Actions &) {
  this->ServiceOf[Changed.Record.Id] = Changed.Record.Service;
  this->AreEnginesStale = true;
}

UnclaimedLoad EngineLoadPlugin::claimedOn(const UpstreamId &Engine,
                                          Time Now) const {
  const auto Found = this->Loads.find(Engine);
  if (Found == this->Loads.end())
    return {};
  const EngineLoad &Load = Found->second;
  return {static_cast<double>(Load.prefilling(Now) + Load.decoding(Now)),
          static_cast<double>(Load.memoryTokens(Now))};
}

void EngineLoadPlugin::takeOwnReport(const EngineReport &Report, Time Now) {
  if (!this->View.isRunning())
    return;
  const EngineWork::Load Load{Report.Engine, Report.Running, Report.Waiting,
                              Report.MemoryUsed, 0};
  this->View.takeReport(Load, this->claimedOn(Report.Engine, Now), Now);
  this->View.noteOwnReport(Load, Now);
  this->noteChange(true, Now);
}

void EngineLoadPlugin::takePeerView(const HostId &From, const EngineWork &Work,
                                    Time Now) {
  if (this->View.notePeer(From, Work.WarmingUp, Now))
    this->noteChange(true, Now);
  for (const EngineWork::Load &Load : Work.Loads)
    this->View.takeReport(Load, this->claimedOn(Load.Engine, Now), Now);
}

void EngineLoadPlugin::assumeLoads(std::span<EngineState> States,
                                   const EngineParameters &Model, Time Now) {
  if (!this->View.assumesLoad(Now))
    return;
  std::size_t Own = 0;
  if (this->View.isRunning())
    for (const auto &[Id, Load] : this->Loads)
      Own += Load.ownCount();
  const double Assumed = this->View.assumedRequests(Own, Now);
  for (EngineState &State : States) {
    const UpstreamId &Id = State.Engine->Record.Id;
    UnclaimedLoad Load = this->View.unclaimed(Id, Now);
    // The draw keeps hosts with the same view from the same choice.
    if (!this->View.isKnown(Id))
      Load.Requests += Assumed * 2 * this->RandomNumbers->fraction();
    if (Load.Requests > 0)
      assume(State, Load, Model);
  }
}

std::vector<std::size_t>
EngineLoadPlugin::openEngines(std::span<const EngineState> States,
                              bool WithFreeSlot) const {
  std::vector<std::size_t> Result;
  for (std::size_t Index = 0; Index < States.size(); ++Index) {
    const UpstreamId &Id = States[Index].Engine->Record.Id;
    const auto Load = this->Loads.find(Id);
    const std::size_t Own =
        Load == this->Loads.end() ? 0 : Load->second.ownCount();
    const bool HasSlot = !WithFreeSlot || States[Index].FreeSlots > 0;
    if (HasSlot && Own < this->View.window(Id))
      Result.push_back(Index);
  }
  return Result;
}

PromptPlacement
EngineLoadPlugin::placeSpread(std::span<const EngineState> States,
                              std::uint32_t Slots, const PromptWork &Work) {
  std::vector<std::size_t> Open = this->openEngines(States, true);
  if (Open.empty())
    Open = this->openEngines(States, false);
  if (Open.empty()) {
    Open.resize(States.size());
    std::iota(Open.begin(), Open.end(), 0);
  }
  std::vector<EngineState> Drawn;
  std::vector<std::size_t> Indices;
  while (Drawn.size() < DrawnEngines && !Open.empty()) {
    const std::size_t At = this->RandomNumbers->below(Open.size());
    Indices.push_back(Open[At]);
    Drawn.push_back(States[Open[At]]);
    Open[At] = Open.back();
    Open.pop_back();
  }
  // No engine of the draw is behind the front.
  PromptPlacement Result =
      placeShort(Drawn, States.size(), Slots, Work, this->Weights);
  Result.Chosen = Indices[Result.Chosen];
  return Result;
}

void EngineLoadPlugin::addFirstReceivers(std::vector<HostId> &Receivers,
                                         Time Now) const {
  const auto AddSome = [&](std::span<const HostId> Hosts) {
    for (const HostId &Host : Hosts)
      if (Receivers.size() < MaxFirstReceivers)
        Receivers.push_back(Host);
  };
  AddSome(this->View.warmingPeers(Now));
  if (!this->View.isRunning() || Receivers.size() >= MaxFirstReceivers)
    return;
  // The active hosts are elected by this hash, so that the first reports reach
  // most of them.
  std::vector<HostId> Live = this->Members->livePeers();
  std::ranges::sort(Live, std::greater<>(), [](const HostId &Host) {
    return rendezvousWeight("active", Host.Value);
  });
  AddSome(Live);
}

} // namespace banyanpick
