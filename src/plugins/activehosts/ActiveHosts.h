/// \file
/// Selects the hosts that serve callers.
#pragma once

#include "kernel/Upstream.h"

#include <span>
#include <vector>

namespace banyanpick {

/// A host that can serve callers.
struct ActiveCandidate {
  HostId Host;
  ZoneId Zone;
  ProcessorShare Processor;
};

/// The capacity that the active hosts must have.
struct RequiredCapacity {
  std::size_t MinHosts = 0;
  double Cores = 0; ///< Processor cores of all active hosts together.
};

/// Returns the hosts that serve callers, ordered by name. They are selected
/// from each data centre in turn, those with the most processor first and then
/// in an order given by a hash. All hosts with the same view therefore select
/// the same hosts, a host that joins or leaves changes one position, and the
/// active hosts are spread over the data centres.
///
/// Hosts that are much smaller than the largest one are left out once the
/// others have most of the capacity: each active host reports its requests to
/// the others, however few it serves.
///
/// Only a part of the hosts is active because of deployments with hundreds of
/// hosts and few requests each. A deciding host must know the requests of all
/// others on the engines, so the traffic between hosts grows with the square of
/// the deciding hosts; spread over all hosts, it took all of their processor
/// time. Few hosts with more requests each know the engines better and reuse
/// their connections.
std::vector<HostId> chooseActive(std::span<const ActiveCandidate> Candidates,
                                 const RequiredCapacity &Required);

} // namespace banyanpick
