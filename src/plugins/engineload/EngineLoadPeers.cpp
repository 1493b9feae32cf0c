/// \file
/// What the plug-in tells other hosts of engines, and hears from them.
#include "plugins/engineload/EngineLoadPlugin.h"
#include "plugins/engineload/PrefillCost.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// A host that told of work so lately is told of work; it repeats what it has
/// several times as often.
constexpr seconds ListensFor(3);

} // namespace

bool EngineLoadPlugin::isToldSoon(const RelayAttempt &Each) const {
  const EngineParameters *Model = this->parametersOf(Each.Service);
  return Model && prefillMs(*Model, Each.PromptTokens) >= this->TellSoonMs;
}

void EngineLoadPlugin::memberChanged(const Member &Changed, Time Now,
                                     Actions &) {
  if (Changed.State != MemberState::Dead)
    return;
  this->Lane.forgetPeer(Changed.Listing.Id);
  const auto Found = this->Told.find(Changed.Listing.Id);
  if (Found == this->Told.end())
    return;
  for (const UpstreamId &Engine : Found->second.Engines)
    this->forgetWork(Changed.Listing.Id, Engine, Now);
  this->Told.erase(Found);
}

void EngineLoadPlugin::forgetWork(const HostId &Peer, const UpstreamId &Engine,
                                  Time Now) {
  const auto Found = this->Loads.find(Engine);
  if (Found == this->Loads.end())
    return;
  Found->second.forgetPeer(Peer, Now);
  if (Found->second.isIdle())
    this->Loads.erase(Found);
}

void EngineLoadPlugin::takePeerWork(const HostId &From, const EngineWork &Work,
                                    Time Now) {
  this->Lane.takePeer(From, Work.QueuedPrompts, Now);
  for (const EngineWork::Slowdown &Each : Work.Slowdowns)
    this->Slowdowns.takePeer(Each, Now);
  std::vector<UpstreamId> Named;
  for (const EngineWork::Item &Each : Work.Items) {
    this->Loads[Each.Engine].takePeer(From, Each, Now);
    Named.push_back(Each.Engine);
  }
  std::ranges::sort(Named);
  ToldBy &Last = this->Told[From];
  // Only those named before can have anything of the peer: of a thousand
  // engines a message names a few.
  for (const UpstreamId &Engine : Last.Engines)
    if (!std::ranges::binary_search(Named, Engine))
      this->forgetWork(From, Engine, Now);
  Last = {Now, std::move(Named)};
}

void EngineLoadPlugin::noteChange(bool Soon, Time Now) {
  this->Tells.noteChange(Soon, this->Active->sharers().size(), Now);
}

void EngineLoadPlugin::tell(Time Now, Actions &Out) {
  EngineWork Work;
  Work.QueuedPrompts = this->Lane.own(Now);
  Work.Slowdowns = this->Slowdowns.own(Now);
  Work.Distrusted = this->Trust->distrusted(Now);
  for (const auto &[Id, Load] : this->Loads)
    if (Load.hasOwn())
      Work.Items.push_back(Load.ownWork(Id));
  this->Tells.noteTold(
      !Work.QueuedPrompts.empty() ? WorkReportSchedule::Told::Waiting
      : !Work.Items.empty()       ? WorkReportSchedule::Told::Work
                                  : WorkReportSchedule::Told::Nothing,
      Now);
  for (const HostId &Peer : this->listeners(Now))
    Out.add(SendToPeer{Peer, Work});
}

std::vector<HostId> EngineLoadPlugin::listeners(Time Now) const {
  const auto Sharers = this->Active->sharers();
  std::vector<HostId> Result(Sharers.begin(), Sharers.end());
  // A host that stands by decides for those who connect to it all the same.
  for (const auto &[Peer, Last] : this->Told)
    if (Now < Last.At + ListensFor && !Last.Engines.empty())
      Result.push_back(Peer);
  std::ranges::sort(Result);
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  std::erase(Result, this->Members->self());
  return Result;
}

} // namespace banyanpick
