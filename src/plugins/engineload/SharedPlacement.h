/// \file
/// Where prompts are placed that several engines read together.
#pragma once

#include "plugins/engineload/EngineState.h"

#include <optional>

namespace banyanpick {

/// The prompt is read in even parts on as many engines as bring most: what the
/// answer is worth at its predicted time, less what is worth the answers that
/// the parts would hold up. Wide parts are short, so that they fit beside
/// answers that may pause; where they do not, clear engines are taken.
PromptPlacement placeShared(std::span<const EngineState> States,
                            const PromptWork &Work, const PlacementTimes &Times,
                            const PlacementWeights &Weights);

/// Like placeShared(), but without engines of which it is not known when they
/// will have read what they are at: waiting for one of them would hold up all
/// prompts.
PromptPlacement placeOnPredictable(std::span<const EngineState> States,
                                   const PromptWork &Work,
                                   const PlacementTimes &Times,
                                   const PlacementWeights &Weights);

/// Like placeOnPredictable() for a prompt that no engine has the memory for:
/// each engine that reads a part of it also keeps that part, and the chosen one
/// stands first among the helpers.
///
/// The load that it answers: prompts beyond one engine's memory while most
/// engines write. Parts are small enough to be kept beside answers; waiting
/// until engines are idle took longer than callers do.
///
/// Nothing while too few engines have memory for a part.
std::optional<PromptPlacement>
placeWithReservations(std::span<const EngineState> States,
                      const PromptWork &Work, std::uint64_t EngineTokens,
                      const PlacementTimes &Times,
                      const PlacementWeights &Weights);

/// What an answer whose first token comes then is worth, as a share of one in
/// time.
double creditAt(double FirstTokenMs, const PlacementTimes &Times,
                const PlacementWeights &Weights);

} // namespace banyanpick
