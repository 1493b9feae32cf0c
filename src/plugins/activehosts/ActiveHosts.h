/// \file
/// Which of many hosts take the callers.
#pragma once

#include "kernel/Upstream.h"

#include <span>
#include <vector>

namespace banyanpick {

/// A host that could take callers.
struct ActiveCandidate {
  HostId Host;
  ZoneId Zone;
  ProcessorShare Processor;
};

/// How much of the hosts is needed.
struct RequiredCapacity {
  std::size_t MinHosts = 0;
  double Cores = 0; ///< The processor of all active hosts together.
};

/// The hosts that take the callers, ordered by name. They are taken in turn
/// from each data centre, those with most processor first, then in an order
/// that a hash makes, so all hosts that know the same choose the same, a host
/// that comes or goes changes one place, and no data centre holds them all.
///
/// The load that it answers: hundreds of hosts with few requests each. A host
/// that decides must know what all others have on the engines, so what hosts
/// tell each other grows with the square of those that decide; spread over all,
/// it took all of their processor time. Few hosts with more requests each know
/// the engines better and reuse their connections.
std::vector<HostId> chooseActive(std::span<const ActiveCandidate> Candidates,
                                 const RequiredCapacity &Required);

} // namespace banyanpick
