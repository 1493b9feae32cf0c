#include "plugins/membership/ProbeRound.h"

#include <algorithm>
#include <utility>

namespace banyanpick {

namespace {

/// The dead are asked now and then, so that a healed cut is noticed.
constexpr std::uint64_t IntervalsBetweenProbesOfTheDead = 4;

/// Of those that owe an answer, asked once more in one interval.
constexpr std::size_t MostAskedAgain = 8;

bool isAwaited(const PeerTable &Peers, std::size_t At) {
  const PeerRecord &Record = Peers.record(At);
  const bool NewLife = Record.Candidate != Incarnation();
  const bool IsDead = Peers.member(At).State == MemberState::Dead;
  // Only listed so far: whatever was told of it before is lost on this host.
  const bool NeverHeard = Peers.member(At).Life == Incarnation();
  const bool Unanswered = Record.ProbedAt != Never || NeverHeard;
  return NewLife || (Unanswered && !IsDead);
}

/// Those that owe an answer, the longest asked first: each has its turn,
/// however many there are.
std::vector<std::size_t> askedAgain(const PeerTable &Peers) {
  std::vector<std::size_t> Result;
  for (std::size_t At = 0; At < Peers.members().size(); ++At)
    if (isAwaited(Peers, At))
      Result.push_back(At);
  const std::size_t Count = std::min(Result.size(), MostAskedAgain);
  std::ranges::partial_sort(
      Result, Result.begin() + static_cast<std::ptrdiff_t>(Count), {},
      [&](std::size_t At) { return Peers.record(At).LastProbedAt; });
  Result.resize(Count);
  return Result;
}

} // namespace

std::vector<std::size_t> ProbeRound::next(const PeerTable &Peers,
                                          const HostId &Self,
                                          std::span<const HostId> Partners) {
  ++this->Intervals;
  return this->isSampling(Peers) ? this->sample(Peers, Self, Partners)
                                 : this->everyone(Peers);
}

std::vector<std::size_t> ProbeRound::everyone(const PeerTable &Peers) {
  const bool WithDead = this->Intervals % IntervalsBetweenProbesOfTheDead == 0;
  std::vector<std::size_t> Result;
  for (std::size_t At = 0; At < Peers.members().size(); ++At)
    if (WithDead || isAwaited(Peers, At) ||
        Peers.member(At).State != MemberState::Dead)
      Result.push_back(At);
  return Result;
}

std::vector<std::size_t> ProbeRound::sample(const PeerTable &Peers,
                                            const HostId &Self,
                                            std::span<const HostId> Partners) {
  std::vector<std::size_t> Result = askedAgain(Peers);
  for (const HostId &Each : Partners)
    if (const auto At = Peers.position(Each))
      Result.push_back(*At);
  for (std::size_t Count = 0; Count < this->Limits.Fanout; ++Count) {
    if (this->Round.empty())
      this->refill(Peers, Self);
    if (this->Round.empty())
      break;
    if (const auto At = Peers.position(this->Round.back()))
      Result.push_back(*At);
    this->Round.pop_back();
  }
  if (this->Intervals % IntervalsBetweenProbesOfTheDead == 0)
    this->addDead(Peers, Result);
  std::sort(Result.begin(), Result.end());
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  return Result;
}

void ProbeRound::refill(const PeerTable &Peers, const HostId &Self) {
  std::vector<const HostId *> Living; // From the one after this host on.
  for (const Member &Each : Peers.members())
    if (Each.State != MemberState::Dead)
      Living.push_back(&Each.Listing.Id);
  const auto After = std::ranges::find_if(
      Living, [&](const HostId *Each) { return Self < *Each; });
  std::rotate(Living.begin(), After, Living.end());
  for (std::size_t Place = 1; Place <= Living.size(); Place *= 2)
    this->Round.push_back(*Living[Place - 1]);
}

void ProbeRound::addDead(const PeerTable &Peers, std::vector<std::size_t> &To) {
  std::vector<std::size_t> Dead;
  for (std::size_t At = 0; At < Peers.members().size(); ++At)
    if (Peers.member(At).State == MemberState::Dead)
      Dead.push_back(At);
  if (!Dead.empty())
    To.push_back(Dead[this->Numbers->below(Dead.size())]);
}

} // namespace banyanpick
