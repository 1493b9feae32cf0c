#include "plugins/fairness/StartTimeFairQueue.h"

#include <algorithm>
#include <queue>

namespace banyanpick {

namespace {

/// With a lower weight, the charge of one request would delay its team for
/// longer than the requests of any other team can wait.
constexpr double MinWeight = 1e-3;

} // namespace

void StartTimeFairQueue::push(const TeamId &Team, double Weight,
                              const WaitingWork &Work) {
  if (this->Count == 0)
    this->beginBusyPeriod();
  Flow &TeamFlow = this->flow(Team, Weight);
  if (TeamFlow.Waiting.empty()) {
    TeamFlow.Floor = this->Virtual;
    this->Heads.emplace(TeamFlow.start(), Team);
  }
  const auto Added = TeamFlow.Waiting.try_emplace({Work.ArrivedAt, Work.Id},
                                                  std::max(0.0, Work.Tokens));
  this->Count += Added.second ? 1 : 0;
}

bool StartTimeFairQueue::remove(const TeamId &Team, Time ArrivedAt,
                                const RequestId &Id) {
  const auto Found = this->Flows.find(Team);
  if (Found == this->Flows.end())
    return false;
  Flow &TeamFlow = Found->second;
  if (TeamFlow.Waiting.erase({ArrivedAt, Id}) == 0)
    return false;
  --this->Count;
  if (TeamFlow.Waiting.empty())
    this->Heads.erase({TeamFlow.start(), Team});
  return true;
}

void StartTimeFairQueue::charge(const TeamId &Team, double Weight,
                                double Tokens) {
  Flow &TeamFlow = this->flow(Team, Weight);
  const double Start = TeamFlow.start();
  this->Virtual = std::max(this->Virtual, Start);
  this->setFinish(Team, TeamFlow,
                  Start + std::max(0.0, Tokens) / TeamFlow.Weight);
}

void StartTimeFairQueue::correct(const TeamId &Team, double Tokens) {
  const auto Found = this->Flows.find(Team);
  if (Found == this->Flows.end())
    return;
  Flow &TeamFlow = Found->second;
  this->setFinish(Team, TeamFlow, TeamFlow.Finish + Tokens / TeamFlow.Weight);
}

void StartTimeFairQueue::chargeRemote(const TeamId &Team, double Weight,
                                      double Tokens) {
  if (this->Count == 0)
    return;
  if (Tokens <= 0) {
    this->correct(Team, Tokens);
    return;
  }
  Flow &TeamFlow = this->flow(Team, Weight);
  const double Work = Tokens / TeamFlow.Weight;
  const double MaxFinish = this->Virtual + Work * RemoteDelayFactor;
  const double RemoteFinish = std::max(TeamFlow.start(), this->Virtual) + Work;
  this->setFinish(Team, TeamFlow,
                  std::max(TeamFlow.Finish, std::min(RemoteFinish, MaxFinish)));
}

std::vector<RequestId>
StartTimeFairQueue::candidates(std::size_t MaxCount) const {
  struct Candidate {
    double Tag;
    const Flow *TeamFlow;
    std::map<WorkKey, double>::const_iterator Work;

    bool operator<(const Candidate &Other) const {
      return this->Tag > Other.Tag;
    }
  };
  std::vector<RequestId> Result;
  std::priority_queue<Candidate> Ready;
  auto Head = this->Heads.begin();
  const auto AddHead = [&] {
    if (Head == this->Heads.end())
      return;
    const Flow &TeamFlow = this->Flows.at(Head->second);
    Ready.push({Head->first, &TeamFlow, TeamFlow.Waiting.begin()});
    ++Head;
  };
  AddHead();
  while (Result.size() < MaxCount && !Ready.empty()) {
    Candidate Best = Ready.top();
    Ready.pop();
    if (Best.Work == Best.TeamFlow->Waiting.begin())
      AddHead();
    Result.push_back(Best.Work->first.second);
    Best.Tag += Best.Work->second / Best.TeamFlow->Weight;
    if (++Best.Work != Best.TeamFlow->Waiting.end())
      Ready.push(Best);
  }
  return Result;
}

bool StartTimeFairQueue::isConsistent() const {
  std::size_t Waiting = 0;
  std::size_t Teams = 0;
  for (const auto &[Team, TeamFlow] : this->Flows) {
    Waiting += TeamFlow.Waiting.size();
    if (TeamFlow.Waiting.empty())
      continue;
    ++Teams;
    if (!this->Heads.contains({TeamFlow.start(), Team}))
      return false;
  }
  return Waiting == this->Count && Teams == this->Heads.size();
}

StartTimeFairQueue::Flow &StartTimeFairQueue::flow(const TeamId &Team,
                                                   double Weight) {
  const auto [Found, IsNew] = this->Flows.try_emplace(Team);
  Flow &TeamFlow = Found->second;
  TeamFlow.Weight = std::max(Weight, MinWeight);
  if (IsNew)
    TeamFlow.Floor = this->Virtual;
  return TeamFlow;
}

void StartTimeFairQueue::setFinish(const TeamId &Team, Flow &TeamFlow,
                                   double Finish) {
  const double Before = TeamFlow.start();
  TeamFlow.Finish = Finish;
  if (TeamFlow.Waiting.empty() || Before == TeamFlow.start())
    return;
  this->Heads.erase({Before, Team});
  this->Heads.emplace(TeamFlow.start(), Team);
}

void StartTimeFairQueue::beginBusyPeriod() {
  for (const auto &[Team, TeamFlow] : this->Flows)
    this->Virtual = std::max(this->Virtual, TeamFlow.Finish);
  this->Flows.clear();
}

} // namespace banyanpick
