#include "plugins/engineload/SharedPlacement.h"

#include <cmath>
#include <numeric>

namespace banyanpick {

namespace {

/// Engines in the order in which they would read a part of that length: those
/// where least is held up, then those that end first.
std::vector<std::size_t> orderFor(std::span<const EngineState> States,
                                  double PartMs) {
  std::vector<std::size_t> Result(States.size());
  std::iota(Result.begin(), Result.end(), 0);
  std::ranges::sort(Result, {}, [&](std::size_t At) {
    const EngineState &Each = States[At];
    return std::pair(Each.valueHeldUp(PartMs),
                     Each.endMs(PartMs) + Each.ExtraMs);
  });
  return Result;
}

/// Some engines that read even parts.
struct Sharing {
  std::vector<std::size_t> Taken;
  double AheadMs = 0;
  double StartMs = 0;
  double FirstTokenMs = 0;
  double HeldUpMs = 0; ///< Value, as in PauseGroup.
};

Sharing sharingAmong(std::span<const EngineState> States,
                     const PromptWork &Work, std::size_t Count) {
  const double PartMs = Work.ReadMs / static_cast<double>(Count);
  Sharing Result;
  Result.Taken = orderFor(States, PartMs);
  Result.Taken.resize(Count);
  for (const std::size_t At : Result.Taken) {
    const EngineState &Each = States[At];
    Result.AheadMs = std::max(Result.AheadMs, Each.BacklogMs);
    Result.StartMs = std::max(Result.StartMs, Each.startMs());
    Result.FirstTokenMs = std::max(Result.FirstTokenMs, Each.endMs(PartMs));
    Result.HeldUpMs += Each.valueHeldUp(PartMs);
  }
  return Result;
}

/// Whether answers that may pause for less are written there already: then no
/// long part will be read there, and one more answer is safe from them, too.
bool isSheltered(const EngineState &Of, double PauseMs) {
  return std::ranges::any_of(Of.Answers, [&](const PauseGroup &Each) {
    return Each.PauseMs < PauseMs;
  });
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

/// Some of the engines, with their places among all.
struct Subset {
  template <class Wanted>
  Subset(std::span<const EngineState> All, Wanted IsWanted) {
    for (std::size_t At = 0; At < All.size(); ++At) {
      if (!IsWanted(All[At]))
        continue;
      this->States.push_back(All[At]);
      this->Places.push_back(At);
    }
  }

  /// The same choice by places among all.
  Placed placed(Placed Choice) const {
    Choice.At = this->Places[Choice.At];
    for (std::size_t &Each : Choice.Helpers)
      Each = this->Places[Each];
    return Choice;
  }

  std::vector<EngineState> States;
  std::vector<std::size_t> Places;
};

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

Placed placeShared(std::span<const EngineState> States, const PromptWork &Work,
                   const PlacementTimes &Times,
                   const PlacementWeights &Weights) {
  const std::size_t Most = std::min(States.size(), Weights.MostHelpers + 1);
  Sharing Best;
  double BestGain = 0;
  for (std::size_t Count = 1; Count <= Most; ++Count) {
    Sharing Each = sharingAmong(States, Work, Count);
    // Among ways that bring the same, the soonest leaves most time to spare.
    const double Gain =
        Work.ValueMs * creditAt(Each.FirstTokenMs, Times, Weights) -
        Each.HeldUpMs - Each.FirstTokenMs * 1e-3;
    if (Count != 1 && Gain <= BestGain)
      continue;
    BestGain = Gain;
    Best = std::move(Each);
  }
  Placed Result;
  Result.At = writerOf(States, Best.Taken, Work);
  Result.AheadMs = Best.AheadMs;
  Result.StartMs = Best.StartMs;
  Result.FirstTokenMs = Best.FirstTokenMs;
  for (const std::size_t At : Best.Taken)
    if (At != Result.At)
      Result.Helpers.push_back(At);
  return Result;
}

Placed placeInTurn(std::span<const EngineState> States, const PromptWork &Work,
                   const PlacementTimes &Times,
                   const PlacementWeights &Weights) {
  const Subset Known(States, [&](const EngineState &Each) {
    return Each.BacklogMs <= Weights.AheadMs || !Each.Overdue;
  });
  if (Known.States.empty())
    return placeShared(States, Work, Times, Weights);
  return Known.placed(placeShared(Known.States, Work, Times, Weights));
}

std::optional<Placed> placeHuge(std::span<const EngineState> States,
                                const PromptWork &Work,
                                std::uint64_t EngineTokens,
                                const PlacementTimes &Times,
                                const PlacementWeights &Weights) {
  /// What an engine gives away at most: small reservations of others and
  /// rounding to blocks need the rest.
  constexpr double UsableShare = 0.85;
  const double Usable = static_cast<double>(EngineTokens) * UsableShare;
  const auto Keepers = static_cast<std::size_t>(
      std::ceil(static_cast<double>(Work.Tokens) / std::max(Usable, 1.0)));
  const Subset Idle(States, [](const EngineState &Each) {
    return Each.Running == 0 && Each.BacklogMs <= 0;
  });
  if (Idle.States.empty() || Idle.States.size() < Keepers)
    return std::nullopt;
  const Placed Shared =
      Idle.placed(placeShared(Idle.States, Work, Times, Weights));
  std::vector<std::size_t> Taken = {Shared.At};
  Taken.insert(Taken.end(), Shared.Helpers.begin(), Shared.Helpers.end());
  for (const std::size_t At : Idle.Places)
    if (Taken.size() < Keepers && std::ranges::count(Taken, At) == 0)
      Taken.push_back(At);
  // The chosen engine is one of the helpers here.
  Taken.resize(std::min(Taken.size(), Weights.MostHelpers));
  Placed Result;
  Result.At = Taken.front();
  Result.Helpers = Taken;
  Result.Keepers = Keepers;
  /// Tokens are kept in blocks; a share is rounded up by some.
  constexpr std::uint64_t Rounding = 64;
  Result.KeptTokens = Work.Tokens / Result.Keepers + Rounding;
  Result.AheadMs = Shared.AheadMs;
  Result.StartMs = Shared.StartMs;
  Result.FirstTokenMs = Shared.FirstTokenMs;
  return Result;
}

} // namespace banyanpick
