#include "plugins/engineload/SharedPlacement.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace banyanpick {

namespace {

/// The engines wanted, by their places among all.
template <class Wanted>
std::vector<std::size_t> placesOf(std::span<const EngineState> States,
                                  Wanted IsWanted) {
  std::vector<std::size_t> Result;
  for (std::size_t At = 0; At < States.size(); ++At)
    if (IsWanted(States[At]))
      Result.push_back(At);
  return Result;
}

/// The engines that would read a part of that length best: those where least
/// is held up, then those that end first.
std::vector<std::size_t> bestFor(std::span<const EngineState> States,
                                 std::span<const std::size_t> Among,
                                 double PartMs, std::size_t Count) {
  struct Ranked {
    double HeldUp = 0;
    double EndMs = 0;
    std::size_t At = 0;
  };
  std::vector<Ranked> All;
  All.reserve(Among.size());
  for (const std::size_t At : Among) {
    const EngineState &Each = States[At];
    All.push_back(
        {Each.delayedValue(PartMs), Each.endMs(PartMs) + Each.ExtraMs, At});
  }
  const auto Last = All.begin() + static_cast<std::ptrdiff_t>(Count);
  std::ranges::partial_sort(All, Last, {}, [](const Ranked &Each) {
    return std::tuple(Each.HeldUp, Each.EndMs, Each.At);
  });
  std::vector<std::size_t> Result;
  std::transform(All.begin(), Last, std::back_inserter(Result),
                 [](const Ranked &Each) { return Each.At; });
  return Result;
}

/// Some engines that read even parts.
struct Sharing {
  std::vector<std::size_t> Taken;
  double AheadMs = 0;
  double StartMs = 0;
  double FirstTokenMs = 0;
  double HeldUpMs = 0; ///< Value, as in GapGroup.
};

/// \p Among has \p Count engines at least.
Sharing sharingAmong(std::span<const EngineState> States,
                     std::span<const std::size_t> Among, const PromptWork &Work,
                     std::size_t Count) {
  const double PartMs = Work.PrefillMs / static_cast<double>(Count);
  Sharing Result;
  Result.Taken = bestFor(States, Among, PartMs, Count);
  for (const std::size_t At : Result.Taken) {
    const EngineState &Each = States[At];
    Result.AheadMs = std::max(Result.AheadMs, Each.BacklogMs);
    Result.StartMs = std::max(Result.StartMs, Each.startMs());
    Result.FirstTokenMs = std::max(Result.FirstTokenMs, Each.endMs(PartMs));
    Result.HeldUpMs += Each.delayedValue(PartMs);
  }
  return Result;
}

/// The sharing that brings most.
class BestSharing {
public:
  void offer(Sharing Each, const PromptWork &Work, const PlacementTimes &Times,
             const PlacementWeights &Weights) {
    const bool IsFirst = this->Best.Taken.empty();
    this->SoonestMs = IsFirst ? Each.FirstTokenMs
                              : std::min(this->SoonestMs, Each.FirstTokenMs);
    // Among ways that bring the same, the soonest leaves most time to spare.
    const double Gain =
        Work.ValueMs * creditAt(Each.FirstTokenMs, Times, Weights) -
        Each.HeldUpMs - Each.FirstTokenMs * 1e-3;
    if (!IsFirst && Gain <= this->BestGain)
      return;
    this->BestGain = Gain;
    this->Best = std::move(Each);
  }
  const Sharing &best() const { return this->Best; }
  /// Where it is read best; \p Writer stands for the engine that gets it.
  PromptPlacement placedAt(std::size_t Writer) const {
    PromptPlacement Result;
    Result.At = Writer;
    Result.AheadMs = this->Best.AheadMs;
    Result.StartMs = this->Best.StartMs;
    Result.FirstTokenMs = this->Best.FirstTokenMs;
    Result.SoonestMs = this->SoonestMs;
    Result.GainMs = this->BestGain;
    std::ranges::remove_copy(this->Best.Taken,
                             std::back_inserter(Result.Helpers), Writer);
    return Result;
  }

private:
  Sharing Best;
  double BestGain = 0;
  double SoonestMs = 0;
};

/// Whether answers that may pause for less are written there already: then no
/// long part will be read there, and one more answer is safe from them, too.
bool isSheltered(const EngineState &Of, double PauseMs) {
  return std::ranges::any_of(
      Of.Answers, [&](const GapGroup &Each) { return Each.PauseMs < PauseMs; });
}

/// The engine that gets the request, keeps the prompt and writes the answer:
/// one with memory for it, sheltered if it can be, that has least to write.
std::size_t writerOf(std::span<const EngineState> States,
                     std::span<const std::size_t> Taken,
                     const PromptWork &Work) {
  return *std::ranges::min_element(Taken, {}, [&](std::size_t At) {
    const EngineState &Each = States[At];
    const bool Full = Work.Tokens > Each.FreeTokens || Each.FreeSlots == 0;
    return std::tuple(Full, !isSheltered(Each, Work.PauseMs), Each.Running,
                      Each.ExtraMs);
  });
}

PromptPlacement placeAmong(std::span<const EngineState> States,
                           std::span<const std::size_t> Among,
                           const PromptWork &Work, const PlacementTimes &Times,
                           const PlacementWeights &Weights) {
  const std::size_t Most = std::min(Among.size(), Weights.MaxHelpers + 1);
  BestSharing Found;
  for (std::size_t Count = 1; Count <= Most; ++Count)
    Found.offer(sharingAmong(States, Among, Work, Count), Work, Times, Weights);
  return Found.placedAt(writerOf(States, Found.best().Taken, Work));
}

/// Whether it is known when the engine will have read what it is at.
bool isKnown(const EngineState &Of, const PlacementWeights &Weights) {
  return Of.BacklogMs <= Weights.AheadMs || !Of.Overdue;
}

/// What each of so many engines keeps of the prompt. Engines keep tokens in
/// blocks; a share is rounded up by some.
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
    // Predictions err by some of it.
    const double Share =
        (FirstTokenMs - BudgetMs) / (Times.ObjectiveMs - BudgetMs);
    return 1 - Share * (1 - Weights.LateShare);
  }
  return FirstTokenMs <= Times.LateMs ? Weights.LateShare : 0;
}

PromptPlacement placeShared(std::span<const EngineState> States,
                            const PromptWork &Work, const PlacementTimes &Times,
                            const PlacementWeights &Weights) {
  const auto All = placesOf(States, [](const EngineState &) { return true; });
  return placeAmong(States, All, Work, Times, Weights);
}

PromptPlacement placeOnPredictable(std::span<const EngineState> States,
                                   const PromptWork &Work,
                                   const PlacementTimes &Times,
                                   const PlacementWeights &Weights) {
  const auto Known = placesOf(
      States, [&](const EngineState &Each) { return isKnown(Each, Weights); });
  if (Known.empty())
    return placeShared(States, Work, Times, Weights);
  return placeAmong(States, Known, Work, Times, Weights);
}

std::optional<PromptPlacement>
placeWithReservations(std::span<const EngineState> States,
                      const PromptWork &Work, std::uint64_t EngineTokens,
                      const PlacementTimes &Times,
                      const PlacementWeights &Weights) {
  /// Of an engine's memory, left to what other hosts send there meanwhile.
  constexpr double LeftShare = 0.15;
  const auto Left =
      static_cast<std::uint64_t>(static_cast<double>(EngineTokens) * LeftShare);
  // The engine that writes the answer is one of the helpers here.
  const std::size_t Most = std::min(States.size(), Weights.MaxHelpers);
  BestSharing Found;
  for (std::size_t Count = 2; Count <= Most; ++Count) {
    const std::uint64_t Share = evenShare(Work.Tokens, Count);
    const auto Roomy = placesOf(States, [&](const EngineState &Each) {
      // Setting memory aside takes several requests to the engine.
      return Share + Left <= Each.FreeTokens && Each.FreeSlots > 0 &&
             !Each.IsLimited && isKnown(Each, Weights);
    });
    if (Roomy.size() >= Count)
      Found.offer(sharingAmong(States, Roomy, Work, Count), Work, Times,
                  Weights);
  }
  const Sharing &Best = Found.best();
  if (Best.Taken.empty())
    return std::nullopt;
  PromptWork Part = Work;
  Part.Tokens = evenShare(Work.Tokens, Best.Taken.size());
  PromptPlacement Result = Found.placedAt(writerOf(States, Best.Taken, Part));
  Result.Helpers.insert(Result.Helpers.begin(), Result.At);
  Result.ReservingHelpers = Result.Helpers.size();
  Result.ReservedTokens = Part.Tokens;
  return Result;
}

} // namespace banyanpick
