/// \file
/// Load for a crowd of hosts, and what the tests count of it.
#pragma once

#include "auto/manyhosts/HostSimulation.h"

#include <array>
#include <span>
#include <string>

namespace banyanpick {

/// How large a crowd is, and how its callers come.
struct SimulationSize {
  std::size_t Hosts = 0;
  std::size_t Engines = 0;
  Duration RequestInterval{}; ///< Two requests.
};

/// For tests at several sizes.
inline constexpr std::array StandardSizes{
    SimulationSize{7, 14, milliseconds(20)},
    SimulationSize{16, 24, milliseconds(12)},
    SimulationSize{88, 51, milliseconds(8)},
    SimulationSize{300, 112, milliseconds(5)}};

/// The name of a test at that size.
template <class Info> std::string sizeName(const Info &Test) {
  return "Hosts" + std::to_string(Test.param.Hosts);
}

std::size_t countSince(std::span<const HostSimulation::Arrival> Arrivals,
                       Time From);

std::size_t lostRequests(const HostSimulation::Tally &Tally);

/// Requests come in turn to the hosts that a living one names, for so long.
std::size_t offerLoad(HostSimulation &Simulation, Duration For,
                      Duration RequestInterval);

/// Revives the dead and ends all cuts.
void restoreAll(HostSimulation &Simulation);

/// BANYANPICK_SEEDS sets how many seeds are run by hand.
std::uint64_t seedCount();

} // namespace banyanpick
