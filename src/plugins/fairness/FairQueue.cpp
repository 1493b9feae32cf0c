#include "plugins/fairness/FairQueue.h"

#include <algorithm>

namespace banyanpick {

void FairQueue::push(const Request &Waiting, bool IsIsolated, Time From,
                     Time Now) {
  Known &Of = this->know(Waiting, IsIsolated);
  if (Of.IsWaiting)
    return;
  Of.Base = laneOf(Waiting, IsIsolated);
  if (From > Now) {
    LaneKey Holding = Of.Base;
    Holding.IsHeld = true;
    Of.HeldUntil = From;
    this->enter(Of, Holding, Now);
    this->Held.emplace(From, Of.Work.Id);
    return;
  }
  this->enter(Of, Now >= Of.AgesAt ? agedLaneOf(Of.Base) : Of.Base, Now);
  if (Now < Of.AgesAt)
    this->Aging.emplace(Of.AgesAt, Of.Work.Id);
}

void FairQueue::remove(const RequestId &Id) {
  const auto Found = this->Requests.find(Id);
  if (Found != this->Requests.end() && Found->second.IsWaiting)
    this->leave(Found->second);
}

std::vector<RequestId> FairQueue::candidates(std::size_t Most, Time Now) {
  this->wake(Now);
  this->age(Now);
  std::vector<const FairLane *> Busy;
  for (auto &[Key, Each] : this->Lanes) {
    if (Each.Work.size() != 0 && !Key.IsHeld)
      Busy.push_back(&Each.Work);
  }
  std::vector<RequestId> Result;
  if (Busy.empty() || Most == 0)
    return Result;
  // The first half of the lanes tried goes by precedence, the rest in turn.
  if (Busy.size() > Most) {
    const auto Rest = Busy.begin() + static_cast<std::ptrdiff_t>(Most / 2);
    const std::size_t Shift =
        this->Turn++ % static_cast<std::size_t>(Busy.end() - Rest);
    std::rotate(Rest, Rest + static_cast<std::ptrdiff_t>(Shift), Busy.end());
    Busy.resize(Most);
  }
  // What a lane leaves of its part falls to those after it.
  std::size_t LanesLeft = Busy.size();
  for (const FairLane *Each : Busy) {
    const std::size_t Part = (Most - Result.size()) / LanesLeft--;
    const auto Chosen = Each->candidates(Part);
    Result.insert(Result.end(), Chosen.begin(), Chosen.end());
  }
  return Result;
}

LaneWork FairQueue::dispatched(const Request &Sent, double PrefillTokens) {
  Known &Of = this->know(Sent, false);
  Of.Charged =
      this->workOf(PrefillTokens, static_cast<double>(Sent.OutputTokens));
  Lane &Base = this->Lanes[Of.Base];
  Base.Hash = hashOf(Of.Base);
  Base.Work.charge(Of.Team, Of.Weight, Of.Charged);
  if (Of.In != Of.Base)
    this->Lanes[Of.In].Work.charge(Of.Team, Of.Weight, Of.Charged);
  return {Of.Team, Base.Hash, Of.Charged};
}

LaneWork FairQueue::ended(const Request &Sent, double PrefillTokens,
                          double OutputTokens) {
  const auto Found = this->Requests.find(Sent.id());
  if (Found == this->Requests.end())
    return {};
  Known &Of = Found->second;
  const double Difference =
      this->workOf(PrefillTokens, OutputTokens) - Of.Charged;
  Of.Charged = 0;
  for (const LaneKey *Key : {&Of.Base, &Of.In}) {
    const auto Lane = this->Lanes.find(*Key);
    if (Lane != this->Lanes.end())
      Lane->second.Work.correct(Of.Team, Difference);
    if (Of.In == Of.Base)
      break;
  }
  return {Of.Team, hashOf(Of.Base), Difference};
}

void FairQueue::forget(const RequestId &Id) {
  this->remove(Id);
  this->Requests.erase(Id);
}

void FairQueue::chargeRemote(const LaneWork &Work, double Weight) {
  if (FairLane *Found = this->laneByHash(Work.Lane))
    Found->chargeRemote(Work.Team, Weight, Work.Tokens);
}

void FairQueue::prune(Time Now) {
  for (auto It = this->Lanes.begin(); It != this->Lanes.end();) {
    const Lane &Each = It->second;
    const bool IsUnused =
        Each.Work.size() == 0 && Now - Each.UsedAt > this->Policy.LaneMemory;
    if (IsUnused)
      this->DroppedVirtual += Each.Work.virtualTime();
    It = IsUnused ? this->Lanes.erase(It) : std::next(It);
  }
}

bool FairQueue::isConsistent() const {
  std::size_t Waiting = 0;
  for (const auto &[Key, Each] : this->Lanes) {
    if (!Each.Work.isConsistent())
      return false;
    Waiting += Each.Work.size();
  }
  const auto Marked =
      std::count_if(this->Requests.begin(), this->Requests.end(),
                    [](const auto &Each) { return Each.second.IsWaiting; });
  return Waiting == this->Count &&
         static_cast<std::size_t>(Marked) == this->Count &&
         this->Aging.size() <= this->Count;
}

double FairQueue::virtualTime() const {
  double Sum = this->DroppedVirtual;
  for (const auto &[Key, Each] : this->Lanes)
    Sum += Each.Work.virtualTime();
  return Sum;
}

void FairQueue::enter(Known &Of, const LaneKey &Into, Time Now) {
  Lane &Entered = this->Lanes[Into];
  Entered.UsedAt = Now;
  if (Entered.Hash == 0)
    Entered.Hash = hashOf(Into);
  Entered.Work.push(Of.Team, Of.Weight, Of.Work);
  Of.In = Into;
  Of.IsWaiting = true;
  ++this->Count;
}

void FairQueue::leave(Known &Of) {
  this->Lanes[Of.In].Work.remove(Of.Team, Of.Work.ArrivedAt, Of.Work.Id);
  this->Aging.erase({Of.AgesAt, Of.Work.Id});
  this->Held.erase({Of.HeldUntil, Of.Work.Id});
  Of.IsWaiting = false;
  --this->Count;
}

void FairQueue::wake(Time Now) {
  while (!this->Held.empty() && this->Held.begin()->first <= Now) {
    Known &Of = this->Requests.at(this->Held.begin()->second);
    this->leave(Of);
    this->enter(Of, Of.Base, Now);
    this->Aging.emplace(Of.AgesAt, Of.Work.Id);
  }
}

void FairQueue::age(Time Now) {
  while (!this->Aging.empty() && this->Aging.begin()->first <= Now) {
    Known &Of = this->Requests.at(this->Aging.begin()->second);
    this->leave(Of);
    this->enter(Of, agedLaneOf(Of.Base), Now);
  }
}

FairQueue::Known &FairQueue::know(const Request &Asked, bool IsIsolated) {
  const auto [Found, IsNew] = this->Requests.try_emplace(Asked.id());
  Known &Of = Found->second;
  if (!IsNew)
    return Of;
  Of.Base = laneOf(Asked, IsIsolated);
  Of.In = Of.Base;
  Of.Team = Asked.Team;
  Of.Weight = Asked.TeamWeight;
  Of.Work.Id = Asked.id();
  Of.Work.ArrivedAt = Asked.ArrivedAt;
  Of.Work.Tokens = this->workOf(static_cast<double>(Asked.Head.PromptTokens),
                                static_cast<double>(Asked.OutputTokens));
  const Duration Promise = Asked.FirstTokenBy - Asked.ArrivedAt;
  Of.AgesAt = Asked.ArrivedAt +
              fromSeconds(inSeconds(Promise) * this->Policy.AgingFraction);
  return Of;
}

double FairQueue::workOf(double PrefillTokens, double OutputTokens) const {
  return PrefillTokens + this->Policy.DecodeWeight * OutputTokens;
}

FairLane *FairQueue::laneByHash(std::uint32_t Hash) {
  for (auto &[Key, Each] : this->Lanes) {
    if (Each.Hash == Hash)
      return &Each.Work;
  }
  return nullptr;
}

} // namespace banyanpick
