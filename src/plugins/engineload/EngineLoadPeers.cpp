/// \file
/// The exchange of engine load between hosts.
#include "plugins/engineload/EngineLoadPlugin.h"
#include "plugins/engineload/PrefillCost.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// A host that reported work this recently receives reports. A host with work
/// repeats its report several times in this time.
constexpr seconds ReceiverWindow(3);

} // namespace

bool EngineLoadPlugin::isReportedSoon(const RelayAttempt &Attempt) const {
  const EngineParameters *Model = this->parametersOf(Attempt.Service);
  return Model && prefillMs(*Model, Attempt.PromptTokens) >= this->ReportSoonMs;
}

void EngineLoadPlugin::memberChanged(const Member &Changed, Time Now,
                                     Actions &) {
  if (Changed.State != MemberState::Dead)
    return;
  this->Queue.forgetPeer(Changed.Listing.Id);
  this->View.forgetPeer(Changed.Listing.Id);
  const auto Found = this->PeerReports.find(Changed.Listing.Id);
  if (Found == this->PeerReports.end())
    return;
  for (const UpstreamId &Engine : Found->second.Engines)
    this->forgetWork(Changed.Listing.Id, Engine, Now);
  this->PeerReports.erase(Found);
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
  this->takePeerView(From, Work, Now);
  this->Queue.takePeer(From, Work.QueuedPrompts, Now);
  for (const EngineWork::Slowdown &Reported : Work.Slowdowns)
    this->Slowdowns.takePeer(Reported, Now);
  std::vector<UpstreamId> Named;
  for (const EngineWork::Item &Item : Work.Items) {
    this->Loads[Item.Engine].takePeer(From, Item, Now);
    Named.push_back(Item.Engine);
  }
  std::ranges::sort(Named);
  PeerReport &Last = this->PeerReports[From];
  // Only engines of the previous report can have work of the peer: a report
  // names a few of possibly a thousand engines.
  for (const UpstreamId &Engine : Last.Engines)
    if (!std::ranges::binary_search(Named, Engine))
      this->forgetWork(From, Engine, Now);
  Last = {Now, std::move(Named)};
}

void EngineLoadPlugin::noteChange(bool Soon, Time Now) {
  this->Reports.noteChange(Soon, this->Active->sharers().size(), Now);
}

void EngineLoadPlugin::reportWork(Time Now, Actions &Out) {
  EngineWork Work;
  Work.QueuedPrompts = this->Queue.own(Now);
  Work.Slowdowns = this->Slowdowns.own(Now);
  Work.Distrusted = this->Trust->distrusted(Now);
  Work.Loads = this->View.ownReports(Now);
  for (const auto &[Id, Load] : this->Loads)
    if (Load.hasOwn())
      Work.Items.push_back(Load.ownWork(Id));
  // A standby host without callers needs no reports.
  Work.WarmingUp = this->View.isRunning() &&
                   (this->Active->isActive() || !Work.Items.empty());
  this->Reports.noteSent(
      !Work.QueuedPrompts.empty() ? WorkReportSchedule::Content::QueuedPrompt
      : !Work.Items.empty()       ? WorkReportSchedule::Content::Work
                                  : WorkReportSchedule::Content::Nothing,
      Now);
  for (const HostId &Peer : this->reportReceivers(Now))
    Out.add(SendToPeer{Peer, Work});
}

std::vector<HostId> EngineLoadPlugin::reportReceivers(Time Now) const {
  const auto Sharers = this->Active->sharers();
  std::vector<HostId> Result(Sharers.begin(), Sharers.end());
  // A standby host also selects engines, for callers that are connected to it.
  for (const auto &[Peer, Last] : this->PeerReports)
    if (Now < Last.ReceivedAt + ReceiverWindow && !Last.Engines.empty())
      Result.push_back(Peer);
  this->addFirstReceivers(Result, Now);
  std::ranges::sort(Result);
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  std::erase(Result, this->Members->self());
  return Result;
}

} // namespace banyanpick
