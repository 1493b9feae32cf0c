/// \file
/// The part of a common limit that one host may use.
#pragma once

#include "kernel/GatewayServices.h"

namespace banyanpick {

/// Share of a common limit that the active hosts divide among themselves. The
/// other hosts have the remainder, for callers that still use an earlier answer
/// of host discovery. The share is not larger because a host that replaces a
/// dead one gets its part while the dead host's use still counts.
inline constexpr double ActiveHostsShare = 0.6;

/// Returns this host's part of a limit on all hosts together, from 0 to 1.
inline double hostShare(const MembershipView &Members,
                        const ActiveHostsView &Active) {
  // Dead hosts count while they are known, because their use still counts.
  const auto AllHosts = static_cast<double>(Members.peers().size() + 1);
  const auto ActiveHosts = static_cast<double>(Active.activeHosts().size());
  if (ActiveHosts >= AllHosts)
    return 1 / AllHosts;
  return Active.isActive() ? ActiveHostsShare / ActiveHosts
                           : (1 - ActiveHostsShare) / AllHosts;
}

} // namespace banyanpick
