/// \file
/// Helpers for upstream states, load reports and settings.
#pragma once

#include "kernel/Services.h"

#include <set>
#include <string_view>

namespace banyanpick {

/// Returns the name of the state as shown in logs and on the status page.
std::string_view name(UpstreamState State);

/// Returns whether the loads differ enough to relay the new one.
bool differsSignificantly(const LoadReport &First, const LoadReport &Second);

/// Returns the zones in a list separated by commas.
std::set<ZoneId> parseZones(std::string_view List);

} // namespace banyanpick
