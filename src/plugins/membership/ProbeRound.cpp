#include "plugins/membership/ProbeRound.h"

#include <algorithm>
#include <utility>

namespace banyanpick {

namespace {

/// The dead are asked now and then, so that a healed cut is noticed.
constexpr std::uint64_t IntervalsBetweenProbesOfTheDead = 4;

bool isAwaited(const PeerTable &Peers, std::size_t At) {
  const PeerRecord &Record = Peers.record(At);
  const bool NewLife = Record.Candidate != Incarnation();
  const bool Unanswered =
      Record.ProbedAt != Never && Peers.member(At).State != MemberState::Dead;
  return NewLife || Unanswered;
}

} // namespace

std::vector<std::size_t> ProbeRound::next(const PeerTable &Peers) {
  ++this->Intervals;
  return this->isSampling(Peers) ? this->sample(Peers) : this->everyone(Peers);
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

std::vector<std::size_t> ProbeRound::sample(const PeerTable &Peers) {
  std::vector<std::size_t> Result;
  for (std::size_t At = 0; At < Peers.members().size(); ++At)
    if (isAwaited(Peers, At) && Result.size() < this->Limits.Fanout)
      Result.push_back(At);
  const std::size_t Wanted = Result.size() + this->Limits.Fanout;
  while (Result.size() < Wanted) {
    if (this->Round.empty())
      this->refill(Peers);
    if (this->Round.empty())
      return Result;
    if (const auto At = Peers.position(this->Round.back()))
      Result.push_back(*At);
    this->Round.pop_back();
  }
  std::sort(Result.begin(), Result.end());
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  return Result;
}

void ProbeRound::refill(const PeerTable &Peers) {
  for (const Member &Each : Peers.members())
    this->Round.push_back(Each.Listing.Id);
  for (std::size_t Left = this->Round.size(); Left > 1; --Left)
    std::swap(this->Round[Left - 1], this->Round[this->Numbers->below(Left)]);
}

} // namespace banyanpick
