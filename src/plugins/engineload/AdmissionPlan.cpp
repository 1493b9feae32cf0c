#include "plugins/engineload/AdmissionPlan.h"

#include "base/Milliseconds.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Interval between two decisions on a prompt that waits for room, of which the
/// end is not predicted. The caller bounds it.
constexpr double RoomCheckMs = 20;

/// Returns how much longer the prompt's engines have work before it. Work of
/// the prompts ahead is spread over all engines.
double waitMs(std::span<const EngineState> States,
              const AdmissionRequest &Request) {
  double BacklogMs = 0;
  for (const EngineState &State : States)
    BacklogMs += State.BacklogMs;
  return (BacklogMs + Request.MsAhead) /
         std::max(static_cast<double>(States.size()), 1.0);
}

std::optional<PromptPlacement> placementFor(std::span<const EngineState> States,
                                            const AdmissionRequest &Request,
                                            const PlacementTimes &Times,
                                            const PlacementWeights &Weights) {
  const PromptWork &Work = Request.Work;
  if (Work.Tokens <= Request.EngineTokens) {
    const PromptPlacement Whole =
        placeOnPredictable(States, Work, Times, Weights);
    if (Work.Tokens <= States[Whole.Chosen].FreeTokens)
      return Whole;
  }
  return placeWithReservations(States, Work, Request.EngineTokens, Times,
                               Weights);
}

} // namespace

AdmissionOrder admissionOrder(std::string_view Setting) {
  if (Setting == "plan")
    return AdmissionOrder::Plan;
  if (Setting == "arrival")
    return AdmissionOrder::Arrival;
  return Setting == "value" ? AdmissionOrder::Value : AdmissionOrder::Queue;
}

void orderByArrival(EngineWork::QueuedPrompt &Prompt, Duration Waited) {
  // The queue orders by tokens divided by prefill time, so both are set to make
  // this the time waited. It puts back prompts that need more time than is
  // left, so this one needs none and has plenty left.
  Prompt.PrefillMs = 1;
  Prompt.Tokens = static_cast<std::uint64_t>(inMilliseconds(Waited));
  Prompt.NeededMs = 0;
  Prompt.LeftMs = 1e6;
}

AdmissionDecision decideAdmission(std::span<const EngineState> States,
                                  const AdmissionRequest &Request,
                                  const PlacementWeights &Weights) {
  PlacementTimes Times;
  Times.ObjectiveMs =
      inMilliseconds(Request.Times.Objective - Request.Times.Waited);
  Times.LateMs = inMilliseconds(Request.Times.Left) * PrefillShare;
  // While the prompt can be in time, only splits that are in time count.
  PlacementWeights InTimeOnly = Weights;
  InTimeOnly.LateShare = 0;
  std::optional<PromptPlacement> Place =
      placementFor(States, Request, Times, InTimeOnly);
  // Few engines or their other work can make the prefill longer.
  const double LeastMs = Request.Work.PrefillMs /
                         std::max(static_cast<double>(Weights.MaxHelpers), 1.0);
  const double RoomMs = waitMs(States, Request);
  const bool InTime = Place && Place->FirstTokenMs <= Times.ObjectiveMs;
  const bool IsReady = Place && Place->AheadMs <= Weights.AheadMs;
  if (InTime && IsReady && Place->GainMs > 0 && Request.IsFirst)
    return SendNow{*Place};
  if (RoomMs + LeastMs <= Times.ObjectiveMs)
    return WaitForTurn{InTime ? Place->AheadMs - Weights.AheadMs : RoomCheckMs,
                       LeastMs};
  if (Request.Times.MayRetryLater)
    return RefuseNow{RoomMs};
  // The answer is late in any case. It must not delay answers of more value.
  Place = placementFor(States, Request, Times, Weights);
  if (Place && Place->AheadMs <= Weights.AheadMs && Request.IsFirst &&
      Place->GainMs > 0)
    return SendNow{*Place};
  if (Times.LateMs < LeastMs)
    return RefuseNow{RoomMs};
  return WaitForTurn{RoomCheckMs, LeastMs};
}

} // namespace banyanpick
