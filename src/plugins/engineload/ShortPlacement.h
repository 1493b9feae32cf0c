/// \file
/// Where prompts are placed that one engine reads beside others' answers.
#pragma once

#include "plugins/engineload/EngineState.h"

namespace banyanpick {

/// Short prompts are gathered on the \p Front first engines of the common
/// order, so that those behind stay clear for what is read on many engines at
/// once: whatever is written on one of those pauses meanwhile.
PromptPlacement placeShort(std::span<const EngineState> States,
                           std::size_t Front, std::uint32_t Slots,
                           const PromptWork &Work,
                           const PlacementWeights &Weights);

/// How many engines make up the front: as few as \p ShortRunning requests fill
/// to FillShare. A batch is cheap to fill (a pass over 15 short answers takes
/// some 60 ms, over 6 some 50), and each engine that stays clear shortens the
/// reading of long prompts.
std::size_t frontEngines(std::size_t Engines, std::uint32_t ShortRunning,
                         std::uint32_t Slots, const PlacementWeights &Weights);

} // namespace banyanpick
