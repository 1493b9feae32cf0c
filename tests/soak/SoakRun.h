/// \file
/// One soak: starts a deployment of processes, injects the faults of a plan and
/// checks the guarantees with the records of callers and upstreams.
#pragma once

#include "soak/FaultPlan.h"
#include "soak/SoakTraffic.h"

namespace banyanpick::soak {

/// The size of the deployment and the number of concurrent callers.
struct SoakSize {
  std::size_t Hosts = 3;
  std::size_t Upstreams = 4;
  std::size_t Callers = 12;
};

/// The result of a soak; the counts are numbers of calls and faults.
struct SoakReport {
  std::size_t Sent = 0;
  std::size_t Correct = 0;
  std::size_t Refused = 0;
  std::size_t Interrupted = 0;
  std::size_t Faults = 0;
  std::vector<std::string> Plan; ///< Descriptions of the faults, in order.
  std::vector<std::string> Violations;
  std::string Logs; ///< Folder with the output of the processes, if violated.
};

/// Runs the plan of \p Seed for \p Length.
SoakReport runSoak(std::uint64_t Seed, Duration Length, const SoakSize &Size);

} // namespace banyanpick::soak
