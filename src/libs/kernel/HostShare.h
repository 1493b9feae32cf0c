/// \file
/// The part of a common limit that one host may use.
#pragma once

#include "kernel/GatewayServices.h"

namespace banyanpick {

/// Share of a common limit that the active hosts divide among themselves. The
/// other hosts have the remainder, for callers that still use an earlier answer
/// of host discovery. A larger share would exceed the limit for a while when a
/// host replaces a dead one: both parts are in use until the limited resource
/// no longer counts the dead host's use.
inline constexpr double ActiveHostsShare = 0.6;

/// Returns this host's part of a limit on all hosts together, from 0 to 1.
inline double hostShare(const MembershipView &Members,
                        const ActiveHostsView &Active) {
  // Dead hosts are included while they are known, because what they used, such
  // as open connections, may not be free yet.
  const auto AllHosts = static_cast<double>(Members.peers().size() + 1);
  const auto ActiveHosts = static_cast<double>(Active.activeHosts().size());
  if (ActiveHosts >= AllHosts)
    return 1 / AllHosts;
  return Active.isActive() ? ActiveHostsShare / ActiveHosts
                           : (1 - ActiveHostsShare) / AllHosts;
}

} // namespace banyanpick
