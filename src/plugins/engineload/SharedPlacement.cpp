#include "plugins/engineload/SharedPlacement.h"

#include "plugins/engineload/HelperZones.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace banyanpick {

namespace {

/// Returns the indices of the matching engines.
template <class Predicate>
std::vector<std::size_t> indicesOf(std::span<const EngineState> States,
                                   Predicate Matches) {
  std::vector<std::size_t> Result;
  for (std::size_t Index = 0; Index < States.size(); ++Index)
    if (Matches(States[Index]))
      Result.push_back(Index);
  return Result;
}

/// Returns the best engines for a part of this length: those with the lowest
/// value of delayed answers, then those that end first.
std::vector<std::size_t> bestEnginesFor(std::span<const EngineState> States,
                                        std::span<const std::size_t> Candidates,
                                        double PartMs, std::size_t Count) {
  struct Ranked {
    double DelayedValue = 0;
    double EndMs = 0;
    std::size_t Index = 0;
  };
  std::vector<Ranked> All;
  All.reserve(Candidates.size());
  for (const std::size_t Index : Candidates) {
    const EngineState &State = States[Index];
    All.push_back({State.delayedValue(PartMs),
                   State.endMs(PartMs) + State.ExtraMs, Index});
  }
  const auto Last = All.begin() + static_cast<std::ptrdiff_t>(Count);
  std::ranges::partial_sort(All, Last, {}, [](const Ranked &Entry) {
    return std::tuple(Entry.DelayedValue, Entry.EndMs, Entry.Index);
  });
  std::vector<std::size_t> Result;
  std::transform(All.begin(), Last, std::back_inserter(Result),
                 [](const Ranked &Entry) { return Entry.Index; });
  return Result;
}

/// A split of the prompt into even parts.
struct Sharing {
  std::vector<std::size_t> Engines;
  double AheadMs = 0;
  double StartMs = 0;
  double FirstTokenMs = 0;
  double DelayedValueMs = 0; ///< In the unit of GapGroup::ValueMs.
  double DistanceMs = 0;     ///< Cost of transfers between zones.
};

/// Returns the split over the \p Count best engines of \p Candidates, which has
/// at least \p Count engines.
Sharing sharingAmong(std::span<const EngineState> States,
                     std::span<const std::size_t> Candidates,
                     const PromptWork &Work, std::size_t Count) {
  const double PartMs = Work.PrefillMs / static_cast<double>(Count);
  Sharing Result;
  Result.Engines = bestEnginesFor(States, Candidates, PartMs, Count);
  for (const std::size_t Index : Result.Engines) {
    const EngineState &State = States[Index];
    Result.AheadMs = std::max(Result.AheadMs, State.BacklogMs);
    Result.StartMs = std::max(Result.StartMs, State.startMs());
    Result.FirstTokenMs = std::max(Result.FirstTokenMs, State.endMs(PartMs));
    Result.DelayedValueMs += State.delayedValue(PartMs);
  }
  return Result;
}

/// Selects the split with the highest gain.
class BestSharing {
public:
  void offer(Sharing Candidate, const PromptWork &Work,
             const PlacementTimes &Times, const PlacementWeights &Weights) {
    const bool IsFirst = this->Best.Engines.empty();
    this->SoonestMs = IsFirst
                          ? Candidate.FirstTokenMs
                          : std::min(this->SoonestMs, Candidate.FirstTokenMs);
    // Among splits of equal gain, the earliest leaves the most slack.
    const double Gain =
        Work.ValueMs * creditAt(Candidate.FirstTokenMs, Times, Weights) -
        Candidate.DelayedValueMs - Candidate.DistanceMs -
        Candidate.FirstTokenMs * 1e-3;
    if (!IsFirst && Gain <= this->BestGain)
      return;
    this->BestGain = Gain;
    this->Best = std::move(Candidate);
  }
  const Sharing &best() const { return this->Best; }
  /// Returns the best split. \p Decoder is the engine that gets the request.
  PromptPlacement placedAt(std::size_t Decoder) const {
    PromptPlacement Result;
    Result.Chosen = Decoder;
    Result.AheadMs = this->Best.AheadMs;
    Result.StartMs = this->Best.StartMs;
    Result.FirstTokenMs = this->Best.FirstTokenMs;
    Result.SoonestMs = this->SoonestMs;
    Result.GainMs = this->BestGain;
    std::ranges::remove_copy(this->Best.Engines,
                             std::back_inserter(Result.Helpers), Decoder);
    return Result;
  }

private:
  Sharing Best;
  double BestGain = 0;
  double SoonestMs = 0;
};

/// Offers the split over the \p Count best engines and, where distance counts,
/// the splits within one zone. Those must not wait for longer.
void offerSharings(BestSharing &Found, std::span<const EngineState> States,
                   std::span<const std::size_t> Candidates,
                   const PromptWork &Work, std::size_t Count,
                   const PlacementTimes &Times,
                   const PlacementWeights &Weights) {
  Sharing Best = sharingAmong(States, Candidates, Work, Count);
  if (Weights.HelperZoneMs > 0) {
    const auto Cost = [&](const Sharing &Split) {
      return Weights.HelperZoneMs *
             static_cast<double>(zoneCrossings(States, Split.Engines));
    };
    Best.DistanceMs = Cost(Best);
    for (const auto &InZone : candidatesByZone(States, Candidates, Count)) {
      Sharing Near = sharingAmong(States, InZone, Work, Count);
      Near.DistanceMs = Cost(Near);
      if (Near.AheadMs <= std::max(Best.AheadMs, Weights.AheadMs))
        Found.offer(std::move(Near), Work, Times, Weights);
    }
  }
  Found.offer(std::move(Best), Work, Times, Weights);
}

/// Returns whether the engine already decodes answers with a shorter gap bound.
/// Long parts are not placed on such an engine, so that they do not delay
/// another answer there either.
bool hasTighterGaps(const EngineState &State, double MaxGapMs) {
  return std::ranges::any_of(State.Answers, [&](const GapGroup &Group) {
    return Group.GapMs < MaxGapMs;
  });
}

/// Returns the engine that gets the request, holds the prompt and decodes the
/// answer: one with enough memory, preferably one with tighter gap bounds, and
/// with the fewest running requests.
std::size_t decoderAmong(std::span<const EngineState> States,
                         std::span<const std::size_t> Engines,
                         const PromptWork &Work) {
  return *std::ranges::min_element(Engines, {}, [&](std::size_t Index) {
    const EngineState &State = States[Index];
    const bool Full = Work.Tokens > State.FreeTokens || State.FreeSlots == 0;
    return std::tuple(Full, !hasTighterGaps(State, Work.MaxGapMs),
                      State.Running, State.ExtraMs + State.ConnectMs);
  });
}

PromptPlacement placeAmong(std::span<const EngineState> States,
                           std::span<const std::size_t> Candidates,
                           const PromptWork &Work, const PlacementTimes &Times,
                           const PlacementWeights &Weights) {
  const std::size_t MaxParts =
      std::min(Candidates.size(), Weights.MaxHelpers + 1);
  BestSharing Found;
  for (std::size_t Count = 1; Count <= MaxParts; ++Count)
    offerSharings(Found, States, Candidates, Work, Count, Times, Weights);
  return Found.placedAt(decoderAmong(States, Found.best().Engines, Work));
}

/// Returns whether the end of the engine's current prefill is predictable.
bool isPredictable(const EngineState &State, const PlacementWeights &Weights) {
  return State.BacklogMs <= Weights.AheadMs || !State.Overdue;
}

/// Returns the tokens that each of \p Count engines holds. Engines allocate
/// tokens in blocks, so the share is rounded up.
std::uint64_t evenShare(std::uint64_t Tokens, std::size_t Count) {
  constexpr std::uint64_t Rounding = 64;
  return Tokens / Count + Rounding;
}

} // namespace

double creditAt(double FirstTokenMs, const PlacementTimes &Times,
                const PlacementWeights &Weights) {
  const double BudgetMs = Times.ObjectiveMs * Weights.BudgetShare;
  if (FirstTokenMs <= BudgetMs)
    return 1;
  if (FirstTokenMs <= Times.ObjectiveMs) {
    // Predictions err by a part of this range, so the value falls gradually.
    const double Share =
        (FirstTokenMs - BudgetMs) / (Times.ObjectiveMs - BudgetMs);
    return 1 - Share * (1 - Weights.LateShare);
  }
  return FirstTokenMs <= Times.LateMs ? Weights.LateShare : 0;
}

PromptPlacement placeShared(std::span<const EngineState> States,
                            const PromptWork &Work, const PlacementTimes &Times,
                            const PlacementWeights &Weights) {
  const auto All = indicesOf(States, [](const EngineState &) { return true; });
  return placeAmong(States, All, Work, Times, Weights);
}

PromptPlacement placeOnPredictable(std::span<const EngineState> States,
                                   const PromptWork &Work,
                                   const PlacementTimes &Times,
                                   const PlacementWeights &Weights) {
  const auto Predictable = indicesOf(States, [&](const EngineState &State) {
    return isPredictable(State, Weights);
  });
  if (Predictable.empty())
    return placeShared(States, Work, Times, Weights);
  return placeAmong(States, Predictable, Work, Times, Weights);
}

std::optional<PromptPlacement>
placeWithReservations(std::span<const EngineState> States,
                      const PromptWork &Work, std::uint64_t EngineTokens,
                      const PlacementTimes &Times,
                      const PlacementWeights &Weights) {
  /// Share of an engine's memory that is left for concurrent requests of other
  /// hosts.
  constexpr double MemoryMarginShare = 0.15;
  const auto Margin = static_cast<std::uint64_t>(
      static_cast<double>(EngineTokens) * MemoryMarginShare);
  // The engine that decodes the answer is one of the helpers here.
  const std::size_t MaxParts = std::min(States.size(), Weights.MaxHelpers);
  BestSharing Found;
  for (std::size_t Count = 2; Count <= MaxParts; ++Count) {
    const std::uint64_t Share = evenShare(Work.Tokens, Count);
    const auto WithMemory = indicesOf(States, [&](const EngineState &State) {
      // A memory reservation takes several requests to the engine, so limited
      // engines are excluded.
      return Share + Margin <= State.FreeTokens && State.FreeSlots > 0 &&
             !State.IsLimited && isPredictable(State, Weights);
    });
    if (WithMemory.size() >= Count)
      offerSharings(Found, States, WithMemory, Work, Count, Times, Weights);
  }
  const Sharing &Best = Found.best();
  if (Best.Engines.empty())
    return std::nullopt;
  PromptWork Part = Work;
  Part.Tokens = evenShare(Work.Tokens, Best.Engines.size());
  PromptPlacement Result =
      Found.placedAt(decoderAmong(States, Best.Engines, Part));
  Result.Helpers.insert(Result.Helpers.begin(), Result.Chosen);
  Result.ReservingHelpers = Result.Helpers.size();
  Result.ReservedTokens = Part.Tokens;
  return Result;
}

} // namespace banyanpick
