/// \file
/// Chooses the application engine of a plain call.
#pragma once

#include "base/Random.h"
#include "kernel/Services.h"

namespace banyanpick {

/// The live application engine with the least outstanding calls, those of the
/// own zone first.
Selection chooseApplication(const FleetView &Fleet, const Request &Req,
                            const SelectionLimits &Limits,
                            const ZoneId &SelfZone, Random &Rng);

} // namespace banyanpick
