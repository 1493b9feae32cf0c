/// \file
/// Small helpers over upstreams and their reports.
#pragma once

#include "kernel/Services.h"

#include <set>
#include <string_view>

namespace banyanpick {

/// The state's name as it stands in logs and the status page.
std::string_view name(UpstreamState State);

/// Whether the load differs enough to be worth telling.
bool differsSignificantly(const LoadReport &First, const LoadReport &Second);

/// The zones in a list separated by commas.
std::set<ZoneId> parseZones(std::string_view List);

} // namespace banyanpick
