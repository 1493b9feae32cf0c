/// \file
/// Placement of prompts that one engine prefills beside running answers.
#pragma once

#include "plugins/engineload/EngineState.h"

namespace banyanpick {

/// Gathers short prompts on the first \p Front engines of the common order. The
/// engines behind stay idle for prompts that several engines prefill, because
/// answers on those engines would pause meanwhile.
PromptPlacement placeShort(std::span<const EngineState> States,
                           std::size_t Front, std::uint32_t Slots,
                           const PromptWork &Work,
                           const PlacementWeights &Weights);

/// Returns the number of front engines: the fewest that \p ShortRunning
/// requests fill to FillShare. A larger batch costs little (a pass over 15
/// short answers takes some 60 ms, over 6 some 50), and each idle engine
/// shortens the prefill of long prompts.
std::size_t frontEngines(std::size_t Engines, std::uint32_t ShortRunning,
                         std::uint32_t Slots, const PlacementWeights &Weights);

} // namespace banyanpick
