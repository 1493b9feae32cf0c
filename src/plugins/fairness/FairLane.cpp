#include "plugins/fairness/FairLane.h"

#include <algorithm>
#include <queue>

namespace banyanpick {

namespace {

/// Lower weights would let one request outlast every other team's patience.
constexpr double LeastWeight = 1e-3;

} // namespace

void FairLane::push(const TeamId &Team, double Weight,
                    const WaitingWork &Work) {
  if (this->Count == 0)
    this->beginBusyPeriod();
  Flow &Of = this->flow(Team, Weight);
  if (Of.Waiting.empty()) {
    Of.Floor = this->Virtual;
    this->Heads.emplace(Of.start(), Team);
  }
  const auto Added = Of.Waiting.try_emplace({Work.ArrivedAt, Work.Id},
                                            std::max(0.0, Work.Tokens));
  this->Count += Added.second ? 1 : 0;
}

bool FairLane::remove(const TeamId &Team, Time ArrivedAt, const RequestId &Id) {
  const auto Found = this->Flows.find(Team);
  if (Found == this->Flows.end())
    return false;
  Flow &Of = Found->second;
  if (Of.Waiting.erase({ArrivedAt, Id}) == 0)
    return false;
  --this->Count;
  if (Of.Waiting.empty())
    this->Heads.erase({Of.start(), Team});
  return true;
}

void FairLane::charge(const TeamId &Team, double Weight, double Tokens) {
  Flow &Of = this->flow(Team, Weight);
  const double Start = Of.start();
  this->Virtual = std::max(this->Virtual, Start);
  this->setFinish(Team, Of, Start + std::max(0.0, Tokens) / Of.Weight);
}

void FairLane::correct(const TeamId &Team, double Tokens) {
  const auto Found = this->Flows.find(Team);
  if (Found == this->Flows.end())
    return;
  Flow &Of = Found->second;
  this->setFinish(Team, Of, Of.Finish + Tokens / Of.Weight);
}

void FairLane::chargeRemote(const TeamId &Team, double Weight, double Tokens) {
  if (this->Count == 0)
    return;
  if (Tokens <= 0) {
    this->correct(Team, Tokens);
    return;
  }
  Flow &Of = this->flow(Team, Weight);
  const double Work = Tokens / Of.Weight;
  const double Most = this->Virtual + Work * RemoteMemory;
  const double Wanted = std::max(Of.start(), this->Virtual) + Work;
  this->setFinish(Team, Of, std::max(Of.Finish, std::min(Wanted, Most)));
}

std::vector<RequestId> FairLane::candidates(std::size_t Most) const {
  struct Next {
    double Tag;
    const Flow *Of;
    std::map<WorkKey, double>::const_iterator Work;

    bool operator<(const Next &Other) const { return this->Tag > Other.Tag; }
  };
  std::vector<RequestId> Result;
  std::priority_queue<Next> Ready;
  auto Head = this->Heads.begin();
  const auto AddHead = [&] {
    if (Head == this->Heads.end())
      return;
    const Flow &Of = this->Flows.at(Head->second);
    Ready.push({Head->first, &Of, Of.Waiting.begin()});
    ++Head;
  };
  AddHead();
  while (Result.size() < Most && !Ready.empty()) {
    Next Taken = Ready.top();
    Ready.pop();
    if (Taken.Work == Taken.Of->Waiting.begin())
      AddHead();
    Result.push_back(Taken.Work->first.second);
    Taken.Tag += Taken.Work->second / Taken.Of->Weight;
    if (++Taken.Work != Taken.Of->Waiting.end())
      Ready.push(Taken);
  }
  return Result;
}

bool FairLane::isConsistent() const {
  std::size_t Waiting = 0;
  std::size_t Teams = 0;
  for (const auto &[Team, Of] : this->Flows) {
    Waiting += Of.Waiting.size();
    if (Of.Waiting.empty())
      continue;
    ++Teams;
    if (!this->Heads.contains({Of.start(), Team}))
      return false;
  }
  return Waiting == this->Count && Teams == this->Heads.size();
}

FairLane::Flow &FairLane::flow(const TeamId &Team, double Weight) {
  const auto [Found, IsNew] = this->Flows.try_emplace(Team);
  Flow &Of = Found->second;
  Of.Weight = std::max(Weight, LeastWeight);
  if (IsNew)
    Of.Floor = this->Virtual;
  return Of;
}

void FairLane::setFinish(const TeamId &Team, Flow &Of, double Finish) {
  const double Before = Of.start();
  Of.Finish = Finish;
  if (Of.Waiting.empty() || Before == Of.start())
    return;
  this->Heads.erase({Before, Team});
  this->Heads.emplace(Of.start(), Team);
}

void FairLane::beginBusyPeriod() {
  for (const auto &[Team, Of] : this->Flows)
    this->Virtual = std::max(this->Virtual, Of.Finish);
  this->Flows.clear();
}

} // namespace banyanpick
