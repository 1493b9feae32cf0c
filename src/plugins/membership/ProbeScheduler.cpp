#include "plugins/membership/ProbeScheduler.h"

#include <algorithm>
#include <utility>

namespace banyanpick {

namespace {

/// Dead peers are probed once in this number of intervals, so that the end of a
/// network partition is noticed.
constexpr std::uint64_t DeadProbePeriod = 4;

/// Peers with an outstanding answer that are probed again in one interval.
constexpr std::size_t MaxRetriesPerInterval = 8;

bool owesAnswer(const PeerTable &Peers, std::size_t Index) {
  const PeerRecord &Record = Peers.record(Index);
  const bool NewLife = Record.Candidate != Incarnation();
  const bool IsDead = Peers.member(Index).State == MemberState::Dead;
  // The peer is only listed so far. Updates received before the listing were
  // dropped.
  const bool NeverHeard = Peers.member(Index).Life == Incarnation();
  const bool Unanswered = Record.ProbedAt != Never || NeverHeard;
  return NewLife || (Unanswered && !IsDead);
}

/// Returns the peers with an outstanding answer, those probed longest ago
/// first. Every peer is probed again in turn, however many there are.
std::vector<std::size_t> retryTargets(const PeerTable &Peers) {
  std::vector<std::size_t> Result;
  for (std::size_t Index = 0; Index < Peers.members().size(); ++Index)
    if (owesAnswer(Peers, Index))
      Result.push_back(Index);
  const std::size_t Count = std::min(Result.size(), MaxRetriesPerInterval);
  std::ranges::partial_sort(
      Result, Result.begin() + static_cast<std::ptrdiff_t>(Count), {},
      [&](std::size_t Index) { return Peers.record(Index).LastProbedAt; });
  Result.resize(Count);
  return Result;
}

} // namespace

std::vector<std::size_t>
ProbeScheduler::next(const PeerTable &Peers, const HostId &Self,
                     std::span<const HostId> Partners) {
  ++this->Intervals;
  return this->isSampling(Peers) ? this->sample(Peers, Self, Partners)
                                 : this->fullMesh(Peers);
}

std::vector<std::size_t> ProbeScheduler::fullMesh(const PeerTable &Peers) {
  const bool WithDead = this->Intervals % DeadProbePeriod == 0;
  std::vector<std::size_t> Result;
  for (std::size_t Index = 0; Index < Peers.members().size(); ++Index)
    if (WithDead || owesAnswer(Peers, Index) ||
        Peers.member(Index).State != MemberState::Dead)
      Result.push_back(Index);
  return Result;
}

std::vector<std::size_t>
ProbeScheduler::sample(const PeerTable &Peers, const HostId &Self,
                       std::span<const HostId> Partners) {
  std::vector<std::size_t> Result = retryTargets(Peers);
  for (const HostId &Host : Partners)
    if (const auto Index = Peers.position(Host))
      Result.push_back(*Index);
  for (std::size_t Count = 0; Count < this->Limits.Fanout; ++Count) {
    if (this->Round.empty())
      this->refill(Peers, Self);
    if (this->Round.empty())
      break;
    if (const auto Index = Peers.position(this->Round.back()))
      Result.push_back(*Index);
    this->Round.pop_back();
  }
  if (this->Intervals % DeadProbePeriod == 0)
    this->addDead(Peers, Result);
  std::sort(Result.begin(), Result.end());
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  return Result;
}

void ProbeScheduler::refill(const PeerTable &Peers, const HostId &Self) {
  std::vector<const HostId *> Living; // Starts with the successor of this host.
  for (const Member &Peer : Peers.members())
    if (Peer.State != MemberState::Dead)
      Living.push_back(&Peer.Listing.Id);
  const auto After = std::ranges::find_if(
      Living, [&](const HostId *Host) { return Self < *Host; });
  std::rotate(Living.begin(), After, Living.end());
  for (std::size_t Distance = 1; Distance <= Living.size(); Distance *= 2)
    this->Round.push_back(*Living[Distance - 1]);
}

void ProbeScheduler::addDead(const PeerTable &Peers,
                             std::vector<std::size_t> &To) {
  std::vector<std::size_t> Dead;
  for (std::size_t Index = 0; Index < Peers.members().size(); ++Index)
    if (Peers.member(Index).State == MemberState::Dead)
      Dead.push_back(Index);
  if (!Dead.empty())
    To.push_back(Dead[this->Rng->below(Dead.size())]);
}

} // namespace banyanpick
