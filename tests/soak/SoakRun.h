/// \file
/// One soak: a deployment of processes, faults by a plan, and the promises
/// checked from what callers and upstreams saw.
#pragma once

#include "soak/FaultPlan.h"
#include "soak/SoakTraffic.h"

namespace banyanpick::soak {

struct SoakSize {
  std::size_t Hosts = 3;
  std::size_t Upstreams = 4;
  std::size_t Callers = 12;
};

struct SoakReport {
  std::size_t Sent = 0;
  std::size_t Correct = 0;
  std::size_t Refused = 0;
  std::size_t Interrupted = 0;
  std::size_t Faults = 0;
  std::vector<std::string> Plan; ///< The faults, in order.
  std::vector<std::string> Violations;
  std::string Logs; ///< The folder with the processes' output, on violations.
};

/// Plays the plan of the seed for so long.
SoakReport runSoak(std::uint64_t Seed, Duration Length, const SoakSize &Size);

} // namespace banyanpick::soak
