#include "plugins/fairness/RequestQueues.h"

#include <algorithm>

namespace banyanpick {

void RequestQueues::push(const Request &Req, bool IsIsolated, Time NotBefore,
                         Time Now) {
  TrackedRequest &Entry = this->findOrAdd(Req, IsIsolated);
  if (Entry.IsWaiting)
    return;
  Entry.Base = queueKey(Req, IsIsolated);
  if (NotBefore > Now) {
    QueueKey HeldKey = Entry.Base;
    HeldKey.IsHeld = true;
    Entry.HeldUntil = NotBefore;
    this->enqueue(Entry, HeldKey, Now);
    this->Held.emplace(NotBefore, Entry.Work.Id);
    return;
  }
  this->enqueue(
      Entry, Now >= Entry.AgesAt ? agedQueueKey(Entry.Base) : Entry.Base, Now);
  if (Now < Entry.AgesAt)
    this->Aging.emplace(Entry.AgesAt, Entry.Work.Id);
}

void RequestQueues::remove(const RequestId &Id) {
  const auto Found = this->Requests.find(Id);
  if (Found != this->Requests.end() && Found->second.IsWaiting)
    this->dequeue(Found->second);
}

std::vector<RequestId> RequestQueues::candidates(std::size_t MaxCount,
                                                 Time Now) {
  this->releaseHeld(Now);
  this->moveAged(Now);
  std::vector<const StartTimeFairQueue *> Busy;
  for (auto &[Key, Item] : this->Queues) {
    if (Item.Work.size() != 0 && !Key.IsHeld)
      Busy.push_back(&Item.Work);
  }
  std::vector<RequestId> Result;
  if (Busy.empty() || MaxCount == 0)
    return Result;
  // The first half of the chosen queues is ordered by precedence; the
  // others are selected in rotation.
  if (Busy.size() > MaxCount) {
    const auto Remainder =
        Busy.begin() + static_cast<std::ptrdiff_t>(MaxCount / 2);
    const std::size_t Shift =
        this->Rotation++ % static_cast<std::size_t>(Busy.end() - Remainder);
    std::rotate(Remainder, Remainder + static_cast<std::ptrdiff_t>(Shift),
                Busy.end());
    Busy.resize(MaxCount);
  }
  // The unused part of a queue goes to the queues after it.
  std::size_t QueuesLeft = Busy.size();
  for (const StartTimeFairQueue *Item : Busy) {
    const std::size_t Part = (MaxCount - Result.size()) / QueuesLeft--;
    const auto Chosen = Item->candidates(Part);
    Result.insert(Result.end(), Chosen.begin(), Chosen.end());
  }
  return Result;
}

QueueWork RequestQueues::dispatched(const Request &Req, double PrefillTokens) {
  TrackedRequest &Entry = this->findOrAdd(Req, false);
  Entry.Charged =
      this->workTokens(PrefillTokens, static_cast<double>(Req.OutputTokens));
  Queue &Base = this->Queues[Entry.Base];
  Base.Hash = queueHash(Entry.Base);
  Base.Work.charge(Entry.Team, Entry.Weight, Entry.Charged);
  if (Entry.Current != Entry.Base)
    this->Queues[Entry.Current].Work.charge(Entry.Team, Entry.Weight,
                                            Entry.Charged);
  return {Entry.Team, Base.Hash, Entry.Charged};
}

QueueWork RequestQueues::ended(const Request &Req, double PrefillTokens,
                               double OutputTokens) {
  const auto Found = this->Requests.find(Req.id());
  if (Found == this->Requests.end())
    return {};
  TrackedRequest &Entry = Found->second;
  const double Difference =
      this->workTokens(PrefillTokens, OutputTokens) - Entry.Charged;
  Entry.Charged = 0;
  for (const QueueKey *Key : {&Entry.Base, &Entry.Current}) {
    const auto Queue = this->Queues.find(*Key);
    if (Queue != this->Queues.end())
      Queue->second.Work.correct(Entry.Team, Difference);
    if (Entry.Current == Entry.Base)
      break;
  }
  return {Entry.Team, queueHash(Entry.Base), Difference};
}

void RequestQueues::forget(const RequestId &Id) {
  this->remove(Id);
  this->Requests.erase(Id);
}

void RequestQueues::chargeRemote(const QueueWork &Work, double Weight) {
  if (StartTimeFairQueue *Found = this->findByHash(Work.QueueHash))
    Found->chargeRemote(Work.Team, Weight, Work.Tokens);
}

void RequestQueues::prune(Time Now) {
  for (auto It = this->Queues.begin(); It != this->Queues.end();) {
    const Queue &Item = It->second;
    const bool IsUnused =
        Item.Work.size() == 0 && Now - Item.UsedAt > this->Policy.MaxIdleTime;
    if (IsUnused)
      this->DroppedVirtual += Item.Work.virtualTime();
    It = IsUnused ? this->Queues.erase(It) : std::next(It);
  }
}

bool RequestQueues::isConsistent() const {
  std::size_t Waiting = 0;
  for (const auto &[Key, Item] : this->Queues) {
    if (!Item.Work.isConsistent())
      return false;
    Waiting += Item.Work.size();
  }
  const auto Marked =
      std::count_if(this->Requests.begin(), this->Requests.end(),
                    [](const auto &Item) { return Item.second.IsWaiting; });
  return Waiting == this->Count &&
         static_cast<std::size_t>(Marked) == this->Count &&
         this->Aging.size() <= this->Count;
}

double RequestQueues::virtualTime() const {
  double Sum = this->DroppedVirtual;
  for (const auto &[Key, Item] : this->Queues)
    Sum += Item.Work.virtualTime();
  return Sum;
}

void RequestQueues::enqueue(TrackedRequest &Entry, const QueueKey &Key,
                            Time Now) {
  Queue &Target = this->Queues[Key];
  Target.UsedAt = Now;
  if (Target.Hash == 0)
    Target.Hash = queueHash(Key);
  Target.Work.push(Entry.Team, Entry.Weight, Entry.Work);
  Entry.Current = Key;
  Entry.IsWaiting = true;
  ++this->Count;
}

void RequestQueues::dequeue(TrackedRequest &Entry) {
  this->Queues[Entry.Current].Work.remove(Entry.Team, Entry.Work.ArrivedAt,
                                          Entry.Work.Id);
  this->Aging.erase({Entry.AgesAt, Entry.Work.Id});
  this->Held.erase({Entry.HeldUntil, Entry.Work.Id});
  Entry.IsWaiting = false;
  --this->Count;
}

void RequestQueues::releaseHeld(Time Now) {
  while (!this->Held.empty() && this->Held.begin()->first <= Now) {
    TrackedRequest &Entry = this->Requests.at(this->Held.begin()->second);
    this->dequeue(Entry);
    this->enqueue(Entry, Entry.Base, Now);
    this->Aging.emplace(Entry.AgesAt, Entry.Work.Id);
  }
}

void RequestQueues::moveAged(Time Now) {
  while (!this->Aging.empty() && this->Aging.begin()->first <= Now) {
    TrackedRequest &Entry = this->Requests.at(this->Aging.begin()->second);
    this->dequeue(Entry);
    this->enqueue(Entry, agedQueueKey(Entry.Base), Now);
  }
}

RequestQueues::TrackedRequest &RequestQueues::findOrAdd(const Request &Req,
                                                        bool IsIsolated) {
  const auto [Found, IsNew] = this->Requests.try_emplace(Req.id());
  TrackedRequest &Entry = Found->second;
  if (!IsNew)
    return Entry;
  Entry.Base = queueKey(Req, IsIsolated);
  Entry.Current = Entry.Base;
  Entry.Team = Req.Team;
  Entry.Weight = Req.TeamWeight;
  Entry.Work.Id = Req.id();
  Entry.Work.ArrivedAt = Req.ArrivedAt;
  Entry.Work.Tokens =
      this->workTokens(static_cast<double>(Req.Head.PromptTokens),
                       static_cast<double>(Req.OutputTokens));
  const Duration Available = Req.FirstTokenBy - Req.ArrivedAt;
  Entry.AgesAt = Req.ArrivedAt +
                 fromSeconds(inSeconds(Available) * this->Policy.AgingFraction);
  return Entry;
}

double RequestQueues::workTokens(double PrefillTokens,
                                 double OutputTokens) const {
  return PrefillTokens + this->Policy.DecodeWeight * OutputTokens;
}

StartTimeFairQueue *RequestQueues::findByHash(std::uint32_t Hash) {
  for (auto &[Key, Item] : this->Queues) {
    if (Item.Hash == Hash)
      return &Item.Work;
  }
  return nullptr;
}

} // namespace banyanpick
