#include "plugins/routing/PredictedChoice.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Maximum number of random draws for each requested candidate. The sample may
/// remain smaller than requested.
constexpr std::uint64_t DrawsPerCandidate = 12;

/// Fraction of its memory that an engine may use as a member of a group.
constexpr double GroupShare = 0.9;

bool contains(std::span<const std::uint32_t> Positions,
              std::uint32_t Position) {
  return std::find(Positions.begin(), Positions.end(), Position) !=
         Positions.end();
}

} // namespace

std::vector<Candidate> PredictedChoice::candidates(const ChoiceDemand &Demand,
                                                   Time Now) {
  std::vector<Candidate> Result;
  for (const std::uint32_t Position : this->sample(Demand))
    Result.push_back(this->estimate(Position, Demand, Now));
  std::stable_sort(Result.begin(), Result.end(),
                   [](const Candidate &Left, const Candidate &Right) {
                     if (Left.Estimate.HasMemory != Right.Estimate.HasMemory)
                       return Left.Estimate.HasMemory;
                     return Left.Estimate.Score < Right.Estimate.Score;
                   });
  return Result;
}

bool PredictedChoice::shouldWait(const Candidate &Best,
                                 const ChoiceDemand &Demand, Time Now) const {
  if (!this->Values.Parts.QueueBound)
    return false;
  const Duration Bound =
      Demand.IsLong ? this->Values.LongQueue : this->Values.EngineQueue;
  // A first attempt that cannot meet its deadline waits until it is refused,
  // unless an engine becomes available in time. A late retry does not wait for
  // this reason.
  const bool IsLate = Now + Best.Estimate.FirstToken > Demand.Req.FirstTokenBy;
  if (IsLate && Demand.Limits.Excluded.empty())
    return true;
  return !Best.Estimate.HasMemory || Best.Estimate.Wait > Bound;
}

std::vector<std::uint32_t>
PredictedChoice::chooseGroup(const ChoiceDemand &Demand,
                             std::uint64_t &TokensEach) const {
  const ModelId Model(Demand.Req.Class.TargetName);
  std::vector<std::uint32_t> Engines =
      this->allUsable(this->Fleet.enginesWith(Model), Demand);
  const auto Upstreams = this->Fleet.upstreams();
  const auto FreeTokens = [&](std::uint32_t Position) {
    const double MaxTokens =
        GroupShare *
        static_cast<double>(Upstreams[Position].Report.MemoryTokens);
    return std::min(this->Cost.freeMemory(Upstreams[Position]),
                    static_cast<std::uint64_t>(MaxTokens));
  };
  std::stable_sort(Engines.begin(), Engines.end(),
                   [&](std::uint32_t Left, std::uint32_t Right) {
                     return FreeTokens(Left) > FreeTokens(Right);
                   });
  const std::size_t MaxCount =
      std::min<std::size_t>(Engines.size(), this->Values.MaxGroupEngines);
  for (std::size_t Count = 2; Count <= MaxCount; ++Count) {
    TokensEach = (Demand.MemoryTokens + Count - 1) / Count;
    if (FreeTokens(Engines[Count - 1]) < TokensEach)
      continue;
    Engines.resize(Count);
    return Engines;
  }
  return {};
}

bool PredictedChoice::isUsable(std::uint32_t Position,
                               const ChoiceDemand &Demand) const {
  const Upstream &Engine = this->Fleet.upstreams()[Position];
  return Engine.State == UpstreamState::Live && !Engine.Report.Leaving &&
         Engine.Report.MemoryTokens > 0 &&
         (Demand.Limits.Excluded.empty() ||
          !Demand.Limits.Excluded.contains(Engine.Listing.Id));
}

Candidate PredictedChoice::estimate(std::uint32_t Position,
                                    const ChoiceDemand &Demand,
                                    Time Now) const {
  const Upstream &Engine = this->Fleet.upstreams()[Position];
  const std::uint64_t Prompt = Demand.Req.Head.PromptTokens;
  Candidate Result;
  Result.Position = Position;
  Result.UncachedTokens = Prompt;
  if (this->Values.Parts.Cache)
    Result.UncachedTokens -=
        std::min(Prompt, this->Cache.cachedTokens(Engine.Listing.Id,
                                                  Demand.Req.Head.Blocks));
  EngineDemand Required;
  Required.Priority = Demand.Priority;
  Required.UncachedTokens = Result.UncachedTokens;
  Required.MemoryTokens = Demand.MemoryTokens;
  Required.RemainingShare = Demand.RemainingShare;
  Required.OutputTokens = Demand.Req.OutputTokens;
  Result.Estimate = this->Cost.estimate(Engine, Required, Now);
  return Result;
}

std::vector<std::uint32_t> PredictedChoice::sample(const ChoiceDemand &Demand) {
  const ModelId Model(Demand.Req.Class.TargetName);
  const auto Engines = this->Fleet.enginesWith(Model);
  if (Demand.Limits.Isolated) {
    const auto Usable = this->allUsable(Engines, Demand);
    if (Usable.empty())
      return {};
    return {this->findLeastBusy(Usable)};
  }
  std::vector<std::uint32_t> Drawn;
  if (Demand.IsLong && this->Values.Parts.LongPool)
    Drawn = this->draw(this->LongPrompts.open(Model), Demand);
  if (Drawn.empty())
    Drawn = this->draw(Engines, Demand);
  if (Drawn.empty())
    Drawn = this->allUsable(Engines, Demand);
  return Drawn;
}

std::vector<std::uint32_t>
PredictedChoice::draw(std::span<const std::uint32_t> Engines,
                      const ChoiceDemand &Demand) {
  if (!this->Values.Parts.Sampling)
    return this->allUsable(Engines, Demand);
  std::uint64_t OwnLeft = this->Values.OwnCandidates;
  std::uint64_t OtherLeft = this->Values.OtherCandidates;
  std::uint64_t Draws = (OwnLeft + OtherLeft) * DrawsPerCandidate;
  std::vector<std::uint32_t> Drawn;
  while (Draws-- > 0 && OwnLeft + OtherLeft > 0 &&
         Drawn.size() < Engines.size()) {
    const std::uint32_t Position = Engines[this->Rng.below(Engines.size())];
    const Upstream &Engine = this->Fleet.upstreams()[Position];
    std::uint64_t &Remaining =
        Engine.Listing.Zone == this->SelfZone ? OwnLeft : OtherLeft;
    const bool IsAccepted = Remaining > 0 && !contains(Drawn, Position) &&
                            this->isUsable(Position, Demand) &&
                            !this->Tracker.hasIsolated(Engine.Listing.Id);
    if (!IsAccepted)
      continue;
    --Remaining;
    Drawn.push_back(Position);
  }
  return Drawn;
}

std::vector<std::uint32_t>
PredictedChoice::allUsable(std::span<const std::uint32_t> Engines,
                           const ChoiceDemand &Demand) const {
  std::vector<std::uint32_t> Usable;
  for (const std::uint32_t Position : Engines)
    if (this->isUsable(Position, Demand))
      Usable.push_back(Position);
  return Usable;
}

std::uint32_t
PredictedChoice::findLeastBusy(std::span<const std::uint32_t> Usable) const {
  const auto LoadOf = [this](std::uint32_t Position) {
    const Upstream &Engine = this->Fleet.upstreams()[Position];
    return std::pair(this->Tracker.hasIsolated(Engine.Listing.Id),
                     Engine.Report.Running + Engine.Report.Queued +
                         this->Tracker.attempts(Engine.Listing.Id));
  };
  return *std::min_element(Usable.begin(), Usable.end(),
                           [&](std::uint32_t Left, std::uint32_t Right) {
                             return LoadOf(Left) < LoadOf(Right);
                           });
}

} // namespace banyanpick
