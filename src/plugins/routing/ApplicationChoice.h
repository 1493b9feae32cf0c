/// \file
/// Chooses the application engine for a call without a model.
#pragma once

#include "base/Random.h"
#include "kernel/Services.h"

namespace banyanpick {

/// Returns the live application engine with the fewest outstanding calls.
/// Engines of the own zone come first, unless they are busy.
Selection chooseApplication(const FleetView &Fleet, const Request &Req,
                            const SelectionLimits &Limits,
                            const ZoneId &SelfZone, Random &Rng);

} // namespace banyanpick
