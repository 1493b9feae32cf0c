#include "plugins/engineload/EngineLoad.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// What a read that takes longer than predicted is taken to need still, as a
/// share of its prediction.
constexpr double OverdueShare = 0.1;

/// What peers say is worth nothing after so long; they tell far more often.
constexpr seconds PeerWorkAge(3);

double millisecondsBetween(Time From, Time To) {
  return static_cast<double>((To - From).count()) / 1e3;
}

} // namespace

void EngineLoad::add(const LoadItem &Item, Time Now) {
  const bool NothingRead = std::ranges::all_of(
      this->Own, [](const LoadItem &Each) { return Each.Writes; });
  if (NothingRead)
    this->HeadSince = Now;
  this->Own.push_back(Item);
}

void EngineLoad::began(const AttemptId &Try, Time Now) {
  const auto Found = std::ranges::find(this->Own, Try, &LoadItem::Try);
  if (Found == this->Own.end() || Found->Writes)
    return;
  Found->Writes = true;
  Found->ReadMs = 0;
  this->HeadSince = Now;
}

void EngineLoad::remove(const AttemptId &Try, Time Now) {
  const auto Found = std::ranges::find(this->Own, Try, &LoadItem::Try);
  if (Found == this->Own.end())
    return;
  if (!Found->Writes)
    this->HeadSince = Now;
  this->Own.erase(Found);
}

void EngineLoad::takePeer(const HostId &Peer, const EngineWork::Item &Work,
                          Time Now) {
  this->Peers[Peer] = {Work, Now};
}

double EngineLoad::ownBacklogMs(Time Now) const {
  double Sum = 0;
  bool Head = true;
  for (const LoadItem &Each : this->Own) {
    if (Each.Writes)
      continue;
    double Left = Each.ReadMs;
    if (Head)
      Left = std::max(Left - millisecondsBetween(this->HeadSince, Now),
                      Each.ReadMs * OverdueShare);
    Head = false;
    Sum += Left;
  }
  return Sum;
}

double EngineLoad::backlogMs(Time Now) const {
  double Sum = this->ownBacklogMs(Now);
  for (const auto &[Peer, Each] : this->Peers) {
    if (Now > Each.At + PeerWorkAge)
      continue;
    Sum +=
        std::max(Each.Work.ReadMs - millisecondsBetween(Each.At, Now),
                 Each.Work.Reading > 0 ? Each.Work.ReadMs * OverdueShare : 0.0);
  }
  return Sum;
}

std::uint32_t EngineLoad::reading() const {
  std::uint32_t Sum = 0;
  for (const LoadItem &Each : this->Own)
    Sum += Each.Writes ? 0 : 1;
  for (const auto &[Peer, Each] : this->Peers)
    Sum += Each.Work.Reading;
  return Sum;
}

std::uint32_t EngineLoad::writing() const {
  std::uint32_t Sum = 0;
  for (const LoadItem &Each : this->Own)
    Sum += Each.Writes ? 1 : 0;
  for (const auto &[Peer, Each] : this->Peers)
    Sum += Each.Work.Writing;
  return Sum;
}

std::uint64_t EngineLoad::memoryTokens() const {
  std::uint64_t Sum = 0;
  for (const LoadItem &Each : this->Own)
    Sum += Each.MemoryTokens;
  for (const auto &[Peer, Each] : this->Peers)
    Sum += Each.Work.MemoryTokens;
  return Sum;
}

std::uint32_t EngineLoad::swiftRunning() const {
  std::uint32_t Sum = 0;
  for (const LoadItem &Each : this->Own)
    Sum += isSwift(Each.Size) ? 1 : 0;
  for (const auto &[Peer, Each] : this->Peers)
    Sum += Each.Work.SwiftRunning;
  return Sum;
}

std::uint32_t EngineLoad::longWriting() const {
  std::uint32_t Sum = 0;
  for (const LoadItem &Each : this->Own)
    Sum += Each.Writes && Each.Size == PromptSize::Long ? 1 : 0;
  for (const auto &[Peer, Each] : this->Peers)
    Sum += Each.Work.LongWriting;
  return Sum;
}

EngineWork::Item EngineLoad::ownWork(const UpstreamId &Engine, Time Now) const {
  EngineWork::Item Result;
  Result.Engine = Engine;
  Result.ReadMs = this->ownBacklogMs(Now);
  for (const LoadItem &Each : this->Own) {
    ++(Each.Writes ? Result.Writing : Result.Reading);
    Result.MemoryTokens += Each.MemoryTokens;
    Result.SwiftRunning += isSwift(Each.Size) ? 1 : 0;
    Result.LongWriting += Each.Writes && Each.Size == PromptSize::Long ? 1 : 0;
  }
  return Result;
}

} // namespace banyanpick
