/// \file
/// Generates load for the simulated hosts and counts its results.
#pragma once

#include "auto/manyhosts/HostSimulation.h"

#include <array>
#include <span>
#include <string>

namespace banyanpick {

/// The size of a simulation and the rate of its requests.
struct SimulationSize {
  std::size_t Hosts = 0;
  std::size_t Engines = 0;
  Duration RequestInterval{}; ///< Time between two requests.
};

/// The sizes of tests that run at several sizes.
inline constexpr std::array StandardSizes{
    SimulationSize{7, 14, milliseconds(20)},
    SimulationSize{16, 24, milliseconds(12)},
    SimulationSize{88, 51, milliseconds(8)},
    SimulationSize{300, 112, milliseconds(5)}};

/// Returns the name of a test at that size.
template <class Info> std::string sizeName(const Info &Test) {
  return "Hosts" + std::to_string(Test.param.Hosts);
}

std::size_t countSince(std::span<const HostSimulation::Arrival> Arrivals,
                       Time From);

std::size_t lostRequests(const HostSimulation::Tally &Tally);

/// Sends requests for the duration \p For, in turn to the hosts that a running
/// host returns to callers. Returns the number of requests.
std::size_t offerLoad(HostSimulation &Simulation, Duration For,
                      Duration RequestInterval);

/// Kills all hosts and restarts them half a second later. Callers send requests
/// meanwhile. Returns half a second after the restart.
void restartAllUnderLoad(HostSimulation &Simulation, Duration RequestInterval);

/// Restarts all stopped hosts and ends all partitions.
void restoreAll(HostSimulation &Simulation);

/// Returns the number of seeds to run. BANYANPICK_SEEDS sets it for runs by
/// hand.
std::uint64_t seedCount();

} // namespace banyanpick
