/// \file
/// Decides whether a long prompt is sent, waits for its turn or is refused.
///
/// In a burst of long prompts, all engines together have too little time and
/// memory. A prompt that waits beyond its objective and is then sent takes the
/// time of prompts that could still be in time.
#pragma once

#include "plugins/engineload/Deferral.h"
#include "plugins/engineload/SharedPlacement.h"

#include <string_view>
#include <variant>

namespace banyanpick {

/// The setting [placement] admission.
enum class AdmissionOrder {
  Queue,   ///< The value order of PromptQueue, with deferral.
  Plan,    ///< decideAdmission().
  Arrival, ///< First come, first served, without deferral.
  Value,   ///< The value order without deferral.
};
AdmissionOrder admissionOrder(std::string_view Setting);

/// Changes the entry so that the queue orders it by the time of its arrival.
void orderByArrival(EngineWork::QueuedPrompt &Prompt, Duration Waited);

/// A long prompt that asks for admission.
struct AdmissionRequest {
  PromptWork Work;
  std::uint64_t EngineTokens = 0; ///< KV cache memory of one engine.
  DeferralTimes Times;
  bool IsFirst = false; ///< No waiting prompt of any host goes before it.
  double MsAhead = 0;   ///< Prefill time of the prompts that go before it.
};

struct SendNow {
  PromptPlacement Place;
};
struct WaitForTurn {
  double CheckMs = 0;  ///< Until the next decision; may be negative.
  double NeededMs = 0; ///< From sending to the first token.
};
struct RefuseNow {
  double RoomMs = 0; ///< Until the engines have time for the prompt.
};
using AdmissionDecision = std::variant<SendNow, WaitForTurn, RefuseNow>;

/// Decides by the states of the engines and the work that goes before the
/// prompt. A prompt that would be late is sent only when no other goes before
/// it and it is worth more than the answers that its parts delay.
AdmissionDecision decideAdmission(std::span<const EngineState> States,
                                  const AdmissionRequest &Request,
                                  const PlacementWeights &Weights);

} // namespace banyanpick
