#include "plugins/engineload/Placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace banyanpick {

namespace {

/// What the requests that run there add to the time of one more.
double crowdMs(const EngineState &Of, const PlacementWeights &Weights) {
  const double Easy = std::min(Of.Running, Weights.EasyRunning);
  const double Beyond = Of.Running - Easy;
  const double Full = Of.Running >= Weights.MostRunning ? Weights.FullMs : 0;
  return Easy * Weights.RunningMs + Beyond * Weights.CrowdedMs + Full;
}

double memoryMs(const EngineState &Of, std::uint64_t Tokens,
                const PlacementWeights &Weights) {
  return Tokens > Of.FreeTokens ? Weights.FullMs : 0;
}

/// What a part of so many milliseconds costs on the engine.
double partMs(const EngineState &Of, double PartMs,
              const PlacementWeights &Weights) {
  return Of.BacklogMs + PartMs + Of.PassMs + Of.ShortRunning * Weights.HarmMs;
}

} // namespace

Placed placeShort(std::span<const EngineState> States, double ReadMs,
                  std::uint64_t Tokens, const PlacementWeights &Weights) {
  Placed Best;
  double BestCost = 0;
  for (std::size_t At = 0; At < States.size(); ++At) {
    const EngineState &Each = States[At];
    const double FirstMs = Each.BacklogMs + ReadMs + Each.PassMs;
    const double Cost = FirstMs + Each.ExtraMs + crowdMs(Each, Weights) +
                        memoryMs(Each, Tokens, Weights) +
                        static_cast<double>(Each.Position) * Weights.PositionMs;
    if (At != 0 && Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best.At = At;
    Best.FirstTokenMs = FirstMs;
  }
  return Best;
}

Placed placeLong(std::span<const EngineState> States, double ReadMs,
                 std::uint64_t Tokens, const PlacementWeights &Weights) {
  // The engines in the order in which they would be taken.
  std::vector<std::size_t> Order(States.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::ranges::sort(Order, {}, [&](std::size_t At) {
    return partMs(States[At], 0, Weights) + States[At].ExtraMs;
  });
  const auto Wanted = static_cast<std::size_t>(
      std::ceil(ReadMs / std::max(Weights.LongestPartMs, 1.0)));
  const std::size_t Most =
      std::min({std::max<std::size_t>(Wanted, 1), Order.size(),
                Weights.MostHelpers + 1});
  // As many as end soonest: each more shortens the parts, and may be busier.
  std::size_t Count = 1;
  double BestMs = 0;
  double SlowestMs = 0;
  for (std::size_t Taken = 1; Taken <= Most; ++Taken) {
    const EngineState &Last = States[Order[Taken - 1]];
    SlowestMs = std::max(SlowestMs, partMs(Last, 0, Weights));
    const double Ms = SlowestMs + ReadMs / static_cast<double>(Taken);
    if (Taken != 1 && Ms >= BestMs)
      continue;
    BestMs = Ms;
    Count = Taken;
  }
  Order.resize(Count);
  // The first engine keeps the whole prompt; that with most memory free.
  const auto First = std::ranges::max_element(Order, {}, [&](std::size_t At) {
    const EngineState &Each = States[At];
    const double Roomy = Tokens <= Each.FreeTokens ? 0 : -Weights.FullMs;
    return Roomy - crowdMs(Each, Weights) - Each.ExtraMs;
  });
  Placed Result;
  Result.At = *First;
  Result.FirstTokenMs = BestMs;
  for (const std::size_t At : Order)
    if (At != Result.At)
      Result.Helpers.push_back(At);
  return Result;
}

} // namespace banyanpick
