#include "plugins/engineload/EngineLoad.h"

#include "base/Milliseconds.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Remaining share of the predicted time that is assumed for a prefill that
/// takes longer than predicted.
constexpr double OverdueShare = 0.1;

/// Lifetime of a peer's report. A peer with work repeats its report three times
/// as often. Without a limit, the work of dead hosts would make engines look
/// full, and callers would be refused.
constexpr milliseconds PeerWorkTtl(1500);

/// Adds the answer to the group with the same gap bound.
void addTo(std::vector<GapGroup> &Groups, const GapGroup &Answer) {
  if (Answer.ValueMs <= 0)
    return;
  const auto Found = std::ranges::find(Groups, Answer.GapMs, &GapGroup::GapMs);
  if (Found == Groups.end())
    Groups.push_back(Answer);
  else
    Found->ValueMs += Answer.ValueMs;
}

} // namespace

void EngineLoad::add(const LoadItem &Item, Time Now) {
  const Prefills Before = this->allPrefills(Now);
  this->Own.push_back(Item);
  this->notePrefills(Before, Now);
}

void EngineLoad::startDecoding(const AttemptId &Attempt, Time Now) {
  const auto Found = std::ranges::find(this->Own, Attempt, &LoadItem::Attempt);
  if (Found == this->Own.end() || Found->IsDecoding)
    return;
  const Prefills Before = this->allPrefills(Now);
  Found->IsDecoding = true;
  Found->PrefillMs = 0;
  this->notePrefills(Before, Now);
}

void EngineLoad::remove(const AttemptId &Attempt, Time Now) {
  const auto Found = std::ranges::find(this->Own, Attempt, &LoadItem::Attempt);
  if (Found == this->Own.end())
    return;
  const Prefills Before = this->allPrefills(Now);
  this->Own.erase(Found);
  this->notePrefills(Before, Now);
}

void EngineLoad::takePeer(const HostId &Peer, const EngineWork::Item &Work,
                          Time Now) {
  const Prefills Before = this->allPrefills(Now);
  this->Peers[Peer] = {Work, Now};
  this->notePrefills(Before, Now);
}

void EngineLoad::forgetPeer(const HostId &Peer, Time Now) {
  const Prefills Before = this->allPrefills(Now);
  this->Peers.erase(Peer);
  this->notePrefills(Before, Now);
}

bool EngineLoad::isCurrent(const PeerWork &Report, Time Now) {
  return Now <= Report.ReceivedAt + PeerWorkTtl;
}

EngineLoad::Prefills EngineLoad::ownPrefills() const {
  Prefills Result;
  for (const LoadItem &Item : this->Own) {
    if (Item.IsDecoding)
      continue;
    Result.Ms += Item.PrefillMs;
    ++Result.Count;
  }
  return Result;
}

EngineLoad::Prefills EngineLoad::allPrefills(Time Now) const {
  Prefills Result = this->ownPrefills();
  for (const auto &[Peer, Report] : this->Peers) {
    if (!isCurrent(Report, Now))
      continue;
    Result.Ms += Report.Work.PrefillMs;
    Result.Count += Report.Work.Prefilling;
  }
  return Result;
}

void EngineLoad::notePrefills(const Prefills &Before, Time Now) {
  if (Before.Count == 0 || this->allPrefills(Now).Count < Before.Count)
    this->HeadSince = Now;
}

double EngineLoad::backlogMs(Time Now) const {
  const Prefills All = this->allPrefills(Now);
  if (All.Count == 0)
    return 0;
  // It is not known which prompt is in prefill, so the mean is used.
  const double HeadMs = All.Ms / All.Count;
  const double DoneMs = std::min(inMilliseconds(Now - this->HeadSince),
                                 HeadMs * (1 - OverdueShare));
  return All.Ms - DoneMs;
}

bool EngineLoad::isOverdue(Time Now) const {
  const Prefills All = this->allPrefills(Now);
  return All.Count > 0 &&
         inMilliseconds(Now - this->HeadSince) > All.Ms / All.Count;
}

std::uint32_t EngineLoad::prefilling(Time Now) const {
  std::uint32_t Sum = 0;
  for (const LoadItem &Item : this->Own)
    Sum += Item.IsDecoding ? 0 : 1;
  for (const auto &[Peer, Report] : this->Peers)
    Sum += isCurrent(Report, Now) ? Report.Work.Prefilling : 0;
  return Sum;
}

std::uint32_t EngineLoad::decoding(Time Now) const {
  std::uint32_t Sum = 0;
  for (const LoadItem &Item : this->Own)
    Sum += Item.IsDecoding ? 1 : 0;
  for (const auto &[Peer, Report] : this->Peers)
    Sum += isCurrent(Report, Now) ? Report.Work.Decoding : 0;
  return Sum;
}

std::uint64_t EngineLoad::memoryTokens(Time Now) const {
  std::uint64_t Sum = 0;
  for (const LoadItem &Item : this->Own)
    Sum += Item.MemoryTokens;
  for (const auto &[Peer, Report] : this->Peers)
    Sum += isCurrent(Report, Now) ? Report.Work.MemoryTokens : 0;
  return Sum;
}

std::uint64_t EngineLoad::contextTokens(Time Now) const {
  // Prompts that await their prefill are included in the memory, and peers
  // report only one sum. The sum is divided evenly among requests.
  const std::uint32_t Decoding = this->decoding(Now);
  const std::uint32_t All = this->prefilling(Now) + Decoding;
  return All == 0 ? 0 : this->memoryTokens(Now) * Decoding / All;
}

std::uint32_t EngineLoad::shortRunning(Time Now) const {
  std::uint32_t Sum = 0;
  for (const LoadItem &Item : this->Own)
    Sum += Item.IsShort ? 1 : 0;
  for (const auto &[Peer, Report] : this->Peers)
    Sum += isCurrent(Report, Now) ? Report.Work.ShortRunning : 0;
  return Sum;
}

std::vector<GapGroup> EngineLoad::answers(Time Now) const {
  std::vector<GapGroup> Result;
  for (const LoadItem &Item : this->Own)
    addTo(Result, Item.Answer);
  for (const auto &[Peer, Report] : this->Peers) {
    if (!isCurrent(Report, Now))
      continue;
    for (const EngineWork::Item::Answers &Answers : Report.Work.ActiveAnswers)
      addTo(Result, {Answers.PauseMs, Answers.ValueMs});
  }
  return Result;
}

EngineWork::Item EngineLoad::ownWork(const UpstreamId &Engine) const {
  EngineWork::Item Result;
  Result.Engine = Engine;
  Result.PrefillMs = this->ownPrefills().Ms;
  std::vector<GapGroup> Held;
  for (const LoadItem &Item : this->Own) {
    ++(Item.IsDecoding ? Result.Decoding : Result.Prefilling);
    Result.MemoryTokens += Item.MemoryTokens;
    Result.ShortRunning += Item.IsShort ? 1 : 0;
    addTo(Held, Item.Answer);
  }
  for (const GapGroup &Group : Held)
    Result.ActiveAnswers.push_back({Group.GapMs, Group.ValueMs});
  return Result;
}

} // namespace banyanpick
