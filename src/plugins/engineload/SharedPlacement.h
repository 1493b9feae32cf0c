/// \file
/// Placement of prompts that several engines prefill together.
#pragma once

#include "plugins/engineload/EngineState.h"

#include <optional>

namespace banyanpick {

/// Splits the prompt into even parts, one for each engine. Selects the number
/// of parts with the highest gain: the value of the answer at its predicted
/// time, less the value of the running answers that the parts would delay. Many
/// parts are short, so that they fit into the inter-token gaps of running
/// answers; where they do not fit, idle engines are used.
PromptPlacement placeShared(std::span<const EngineState> States,
                            const PromptWork &Work, const PlacementTimes &Times,
                            const PlacementWeights &Weights);

/// Like placeShared(), but without engines whose current prefill has an unknown
/// end. Waiting for such an engine would delay all prompts.
PromptPlacement placeOnPredictable(std::span<const EngineState> States,
                                   const PromptWork &Work,
                                   const PlacementTimes &Times,
                                   const PlacementWeights &Weights);

/// Like placeOnPredictable(), for a prompt that exceeds the memory of one
/// engine. Each engine that prefills a part also reserves the memory for it.
/// The chosen engine is the first of the helpers.
///
/// Such prompts are placed beside running answers, because their parts are
/// small enough. While most engines decode, waiting for idle engines took
/// longer than callers wait.
///
/// Returns nothing while too few engines have memory for a part.
std::optional<PromptPlacement>
placeWithReservations(std::span<const EngineState> States,
                      const PromptWork &Work, std::uint64_t EngineTokens,
                      const PlacementTimes &Times,
                      const PlacementWeights &Weights);

/// Returns the value of an answer whose first token arrives at \p FirstTokenMs,
/// as a share of the value of an answer in time.
double creditAt(double FirstTokenMs, const PlacementTimes &Times,
                const PlacementWeights &Weights);

} // namespace banyanpick
