/// \file
/// Measures one decision on a long prompt and one choice for a short prompt, by
/// the number of engines.
#include "plugins/engineload/AdmissionPlan.h"
#include "plugins/engineload/ShortPlacement.h"

#include <fmt/format.h>

#include <chrono>

namespace banyanpick {
namespace {

std::vector<EngineState> busyEngines(std::size_t Count) {
  std::vector<EngineState> Result(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    EngineState &State = Result[Index];
    State.Position = Index;
    State.Running = static_cast<std::uint32_t>(Index * 7 % 12);
    State.FreeSlots = 12 - State.Running;
    State.FreeTokens = 344'250 - State.Running * 9000;
    State.PassMs = 45 + State.Running;
    State.BacklogMs = static_cast<double>(Index * 13 % 50);
    State.ExtraMs = static_cast<double>(Index * 11 % 25);
    State.Answers = {{187, State.Running * 130.0}};
  }
  return Result;
}

template <class Function> double microseconds(Function Decide) {
  constexpr int Repeats = 2000;
  const auto Start = std::chrono::steady_clock::now();
  for (int Round = 0; Round < Repeats; ++Round)
    Decide();
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Start;
  return Took.count() / Repeats;
}

void measure(std::size_t Engines) {
  const std::vector<EngineState> States = busyEngines(Engines);
  PlacementWeights Weights;
  Weights.RunningMs = 2;
  Weights.CrowdedMs = 15;
  Weights.EasyShare = 0.75;
  Weights.FullMs = 1000;
  Weights.PositionMs = 40;
  Weights.BudgetShare = 0.8;
  Weights.LateShare = 0.25;
  Weights.AheadMs = 60;
  Weights.MaxHelpers = 16;
  const PromptWork Short{35, 5000, 6500, 130, 250};
  AdmissionRequest Long;
  Long.Work = {7000, 260'000, 263'000, 1880, 750};
  Long.EngineTokens = 344'250;
  Long.Times = {seconds(4), Duration(0), seconds(15), true};
  Long.IsFirst = true;
  AdmissionRequest Reserving = Long;
  Reserving.Work = {15'000, 400'000, 403'000, 2800, 750};
  std::size_t Sum = 0;
  const double ShortUs = microseconds([&] {
    Sum += placeShort(States, Engines / 2, 12, Short, Weights).Chosen;
  });
  const double LongUs = microseconds(
      [&] { Sum += decideAdmission(States, Long, Weights).index(); });
  const double ReservingUs = microseconds(
      [&] { Sum += decideAdmission(States, Reserving, Weights).index(); });
  fmt::print("{:5} engines: short {:.2f} us, long {:.1f} us, beyond one engine "
             "{:.1f} us (check {})\n",
             Engines, ShortUs, LongUs, ReservingUs, Sum);
}

} // namespace
} // namespace banyanpick

int main() {
  for (const std::size_t Engines : {100, 1000})
    banyanpick::measure(Engines);
  return 0;
}
