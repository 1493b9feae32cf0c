/// \file
/// Load for a crowd of hosts, and what the tests count of it.
#pragma once

#include "auto/manyhosts/HostCrowd.h"

#include <array>
#include <span>
#include <string>

namespace banyanpick {

/// How large a crowd is, and how its callers come.
struct CrowdSizes {
  std::size_t Hosts = 0;
  std::size_t Engines = 0;
  Duration Between{}; ///< Two requests.
};

/// For tests at several sizes.
inline constexpr std::array UsualSizes{
    CrowdSizes{7, 14, milliseconds(20)}, CrowdSizes{16, 24, milliseconds(12)},
    CrowdSizes{88, 51, milliseconds(8)}, CrowdSizes{300, 112, milliseconds(5)}};

/// The name of a test at that size.
template <class Info> std::string nameOfSize(const Info &Of) {
  return "Hosts" + std::to_string(Of.param.Hosts);
}

std::size_t countFrom(std::span<const HostCrowd::Arrival> Arrivals, Time From);

std::size_t lostOf(const HostCrowd::Tally &Tally);

/// Requests come in turn to the hosts that a living one names, for so long.
std::size_t offer(HostCrowd &Crowd, Duration For, Duration Between);

/// Revives the dead and ends all cuts.
void mendAll(HostCrowd &Crowd);

/// BANYANPICK_SEEDS sets how many seeds are run by hand.
std::uint64_t seedCount();

} // namespace banyanpick
