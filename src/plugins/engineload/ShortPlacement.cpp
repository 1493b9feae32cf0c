#include "plugins/engineload/ShortPlacement.h"

#include <cmath>

namespace banyanpick {

namespace {

/// What the requests that run there add to the time of one more.
double crowdMs(const EngineState &Of, std::uint32_t Slots,
               const PlacementWeights &Weights) {
  const double Running = Of.Running;
  const double Easy = std::min(Running, Slots * Weights.EasyShare);
  // The last slot is left to what other hosts send at the same moment.
  const double Full = Of.Running + 1 >= Slots ? Weights.FullMs : 0;
  return Easy * Weights.RunningMs + (Running - Easy) * Weights.CrowdedMs + Full;
}

double placesBehind(const EngineState &Of, std::size_t Front) {
  return Of.Position < Front ? 0 : static_cast<double>(Of.Position - Front + 1);
}

/// What holding answers up costs, in terms of the one that would do so.
double heldUpMs(const EngineState &Of, const PromptWork &Work,
                const PlacementWeights &Weights) {
  return Of.delayedValue(Work.PrefillMs) / std::max(Work.ValueMs, 1.0) *
         Weights.PauseCostMs;
}

} // namespace

std::size_t frontEngines(std::size_t Engines, std::uint32_t ShortRunning,
                         std::uint32_t Slots, const PlacementWeights &Weights) {
  const double Filled = std::max(Slots * Weights.FillShare, 1.0);
  const auto Needed =
      static_cast<std::size_t>(std::ceil((ShortRunning + 1) / Filled));
  return std::min(Needed, Engines);
}

PromptPlacement placeShort(std::span<const EngineState> States,
                           std::size_t Front, std::uint32_t Slots,
                           const PromptWork &Work,
                           const PlacementWeights &Weights) {
  PromptPlacement Best;
  double BestCost = 0;
  for (std::size_t At = 0; At < States.size(); ++At) {
    const EngineState &Each = States[At];
    const double FirstMs = Each.endMs(Work.PrefillMs);
    const double Memory = Work.Tokens > Each.FreeTokens ? Weights.FullMs : 0;
    const double Cost = FirstMs + Each.ExtraMs + Memory +
                        crowdMs(Each, Slots, Weights) +
                        heldUpMs(Each, Work, Weights) +
                        placesBehind(Each, Front) * Weights.PositionMs;
    if (At != 0 && Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best.At = At;
    Best.StartMs = Each.startMs();
    Best.FirstTokenMs = FirstMs;
  }
  return Best;
}

} // namespace banyanpick
