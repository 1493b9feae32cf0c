/// \file
/// Placement of prompts that several engines prefill together.
#pragma once

#include "plugins/engineload/EngineState.h"

#include <optional>

namespace banyanpick {

/// Splits the prompt evenly over the number of engines with the highest gain:
/// the value of the answer at its predicted time, less the value of the answers
/// that the parts would delay. Parts on many engines are short and fit into the
/// gaps of running answers; where they do not fit, idle engines are used.
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
/// small enough: waiting for idle engines took longer than callers wait.
///
/// Returns nothing while too few engines have memory for a part.
std::optional<PromptPlacement>
placeWithReservations(std::span<const EngineState> States,
                      const PromptWork &Work, std::uint64_t EngineTokens,
                      const PlacementTimes &Times,
                      const PlacementWeights &Weights);

/// Returns the value of an answer with this first-token time, as a share of an
/// answer in time.
double creditAt(double FirstTokenMs, const PlacementTimes &Times,
                const PlacementWeights &Weights);

} // namespace banyanpick
