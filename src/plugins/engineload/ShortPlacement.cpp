#include "plugins/engineload/ShortPlacement.h"

#include <cmath>

namespace banyanpick {

namespace {

/// Returns the cost that the running requests add to one more request.
double batchCostMs(const EngineState &State, std::uint32_t Slots,
                   const PlacementWeights &Weights) {
  const double Running = State.Running;
  const double Uncrowded = std::min(Running, Slots * Weights.EasyShare);
  // The last slot is left for concurrent requests of other hosts.
  const double Full = State.Running + 1 >= Slots ? Weights.FullMs : 0;
  return Uncrowded * Weights.RunningMs +
         (Running - Uncrowded) * Weights.CrowdedMs + Full;
}

/// Cost of an engine to which the prompt must not be sent.
constexpr double ForbiddenMs = 1e9;

double memoryCostMs(const EngineState &State, const PromptWork &Work,
                    const PlacementWeights &Weights) {
  if (Work.Tokens <= State.FreeTokens)
    return 0;
  return mayExceedMemory(Weights) ? Weights.FullMs : ForbiddenMs;
}

double positionsBehind(const EngineState &State, std::size_t Front) {
  return State.Position < Front
             ? 0
             : static_cast<double>(State.Position - Front + 1);
}

/// Returns the cost of delaying running answers, relative to the value of the
/// prompt that delays them.
double delayCostMs(const EngineState &State, const PromptWork &Work,
                   const PlacementWeights &Weights) {
  return State.delayedValue(Work.PrefillMs) / std::max(Work.ValueMs, 1.0) *
         Weights.GapCostMs;
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
  for (std::size_t Index = 0; Index < States.size(); ++Index) {
    const EngineState &State = States[Index];
    const double FirstMs = State.endMs(Work.PrefillMs);
    const double Memory = memoryCostMs(State, Work, Weights);
    const double Cost = FirstMs + State.ExtraMs + State.ConnectMs + Memory +
                        batchCostMs(State, Slots, Weights) +
                        delayCostMs(State, Work, Weights) +
                        positionsBehind(State, Front) * Weights.PositionMs;
    if (Index != 0 && Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best.Chosen = Index;
    Best.StartMs = State.startMs();
    Best.FirstTokenMs = FirstMs;
  }
  return Best;
}

} // namespace banyanpick
