/// \file
/// Distances between the engines that prefill one prompt together.
#pragma once

#include "plugins/engineload/EngineState.h"

namespace banyanpick {

/// Returns how many transfers between zones the engines cause: one for each
/// engine outside the zone with the most of them, and one if this zone is not
/// the host's own. Meant for prompts whose parts cross between zones
/// although one zone could serve them as well.
std::size_t zoneCrossings(std::span<const EngineState> States,
                          std::span<const std::size_t> Engines);

/// Returns the candidates of each zone that has at least \p MinCount of them.
/// Empty if all candidates are in one zone.
std::vector<std::vector<std::size_t>>
candidatesByZone(std::span<const EngineState> States,
                 std::span<const std::size_t> Candidates, std::size_t MinCount);

} // namespace banyanpick
