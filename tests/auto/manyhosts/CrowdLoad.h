/// \file
/// Load for a crowd of hosts, and what the tests count of it.
#pragma once

#include "auto/manyhosts/HostCrowd.h"

#include <span>

namespace banyanpick {

std::size_t countFrom(std::span<const HostCrowd::Arrival> Arrivals, Time From);

std::size_t lostOf(const HostCrowd::Tally &Tally);

/// Requests come in turn to the hosts that a living one names, for so long.
std::size_t offer(HostCrowd &Crowd, Duration For, Duration Between);

/// BANYANPICK_SEEDS sets how many seeds are run by hand.
std::uint64_t seedCount();

} // namespace banyanpick
