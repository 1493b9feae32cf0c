#include "plugins/engineload/EngineLoad.h"

#include "base/Milliseconds.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// What a read that takes longer than predicted is taken to need still, as a
/// share of its prediction.
constexpr double OverdueShare = 0.1;

/// What peers say is worth nothing after so long; while they have work they
/// tell it three times as often. What hosts that died had would otherwise make
/// engines look full, and callers be turned away.
constexpr milliseconds PeerWorkAge(1500);

/// Adds the answer to those that may pause for the same time.
void addTo(std::vector<GapGroup> &Groups, const GapGroup &Answer) {
  if (Answer.ValueMs <= 0)
    return;
  const auto Found =
      std::ranges::find(Groups, Answer.PauseMs, &GapGroup::PauseMs);
  if (Found == Groups.end())
    Groups.push_back(Answer);
  else
    Found->ValueMs += Answer.ValueMs;
}

} // namespace

void EngineLoad::add(const LoadItem &Item, Time Now) {
  const Reads Before = this->allReads(Now);
  this->Own.push_back(Item);
  this->noteReads(Before, Now);
}

void EngineLoad::began(const AttemptId &Try, Time Now) {
  const auto Found = std::ranges::find(this->Own, Try, &LoadItem::Try);
  if (Found == this->Own.end() || Found->Writes)
    return;
  const Reads Before = this->allReads(Now);
  Found->Writes = true;
  Found->PrefillMs = 0;
  this->noteReads(Before, Now);
}

void EngineLoad::remove(const AttemptId &Try, Time Now) {
  const auto Found = std::ranges::find(this->Own, Try, &LoadItem::Try);
  if (Found == this->Own.end())
    return;
  const Reads Before = this->allReads(Now);
  this->Own.erase(Found);
  this->noteReads(Before, Now);
}

void EngineLoad::takePeer(const HostId &Peer, const EngineWork::Item &Work,
                          Time Now) {
  const Reads Before = this->allReads(Now);
  this->Peers[Peer] = {Work, Now};
  this->noteReads(Before, Now);
}

void EngineLoad::forgetPeer(const HostId &Peer, Time Now) {
  const Reads Before = this->allReads(Now);
  this->Peers.erase(Peer);
  this->noteReads(Before, Now);
}

bool EngineLoad::isCurrent(const PeerWork &Of, Time Now) {
  return Now <= Of.At + PeerWorkAge;
}

EngineLoad::Reads EngineLoad::ownReads() const {
  Reads Result;
  for (const LoadItem &Each : this->Own) {
    if (Each.Writes)
      continue;
    Result.Ms += Each.PrefillMs;
    ++Result.Count;
  }
  return Result;
}

EngineLoad::Reads EngineLoad::allReads(Time Now) const {
  Reads Result = this->ownReads();
  for (const auto &[Peer, Each] : this->Peers) {
    if (!isCurrent(Each, Now))
      continue;
    Result.Ms += Each.Work.PrefillMs;
    Result.Count += Each.Work.Prefilling;
  }
  return Result;
}

void EngineLoad::noteReads(const Reads &Before, Time Now) {
  if (Before.Count == 0 || this->allReads(Now).Count < Before.Count)
    this->HeadSince = Now;
}

double EngineLoad::backlogMs(Time Now) const {
  const Reads All = this->allReads(Now);
  if (All.Count == 0)
    return 0;
  // Which of them is under way is not known; the mean stands for it.
  const double HeadMs = All.Ms / All.Count;
  const double DoneMs = std::min(inMilliseconds(Now - this->HeadSince),
                                 HeadMs * (1 - OverdueShare));
  return All.Ms - DoneMs;
}

bool EngineLoad::isOverdue(Time Now) const {
  const Reads All = this->allReads(Now);
  return All.Count > 0 &&
         inMilliseconds(Now - this->HeadSince) > All.Ms / All.Count;
}

std::uint32_t EngineLoad::reading(Time Now) const {
  std::uint32_t Sum = 0;
  for (const LoadItem &Each : this->Own)
    Sum += Each.Writes ? 0 : 1;
  for (const auto &[Peer, Each] : this->Peers)
    Sum += isCurrent(Each, Now) ? Each.Work.Prefilling : 0;
  return Sum;
}

std::uint32_t EngineLoad::writing(Time Now) const {
  std::uint32_t Sum = 0;
  for (const LoadItem &Each : this->Own)
    Sum += Each.Writes ? 1 : 0;
  for (const auto &[Peer, Each] : this->Peers)
    Sum += isCurrent(Each, Now) ? Each.Work.Decoding : 0;
  return Sum;
}

std::uint64_t EngineLoad::memoryTokens(Time Now) const {
  std::uint64_t Sum = 0;
  for (const LoadItem &Each : this->Own)
    Sum += Each.MemoryTokens;
  for (const auto &[Peer, Each] : this->Peers)
    Sum += isCurrent(Each, Now) ? Each.Work.MemoryTokens : 0;
  return Sum;
}

std::uint64_t EngineLoad::contextTokens(Time Now) const {
  // What is to be read yet has its memory, too; peers tell one sum.
  const std::uint32_t Decoding = this->writing(Now);
  const std::uint32_t All = this->reading(Now) + Decoding;
  return All == 0 ? 0 : this->memoryTokens(Now) * Decoding / All;
}

std::uint32_t EngineLoad::shortRunning(Time Now) const {
  std::uint32_t Sum = 0;
  for (const LoadItem &Each : this->Own)
    Sum += Each.IsShort ? 1 : 0;
  for (const auto &[Peer, Each] : this->Peers)
    Sum += isCurrent(Each, Now) ? Each.Work.ShortRunning : 0;
  return Sum;
}

std::vector<GapGroup> EngineLoad::answers(Time Now) const {
  std::vector<GapGroup> Result;
  for (const LoadItem &Each : this->Own)
    addTo(Result, Each.Answer);
  for (const auto &[Peer, Each] : this->Peers) {
    if (!isCurrent(Each, Now))
      continue;
    for (const EngineWork::Item::Answers &One : Each.Work.ActiveAnswers)
      addTo(Result, {One.PauseMs, One.ValueMs});
  }
  return Result;
}

EngineWork::Item EngineLoad::ownWork(const UpstreamId &Engine) const {
  EngineWork::Item Result;
  Result.Engine = Engine;
  Result.PrefillMs = this->ownReads().Ms;
  std::vector<GapGroup> Held;
  for (const LoadItem &Each : this->Own) {
    ++(Each.Writes ? Result.Decoding : Result.Prefilling);
    Result.MemoryTokens += Each.MemoryTokens;
    Result.ShortRunning += Each.IsShort ? 1 : 0;
    addTo(Held, Each.Answer);
  }
  for (const GapGroup &Each : Held)
    Result.ActiveAnswers.push_back({Each.PauseMs, Each.ValueMs});
  return Result;
}

} // namespace banyanpick
