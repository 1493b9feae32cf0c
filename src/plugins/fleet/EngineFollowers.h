/// \file
/// Selects the entry hosts that are responsible for an upstream: that poll it,
/// relay its load and free its memory.
#pragma once

#include "kernel/Services.h"

namespace banyanpick {

/// Ranks this host among the remaining hosts of its zone, by rendezvous hash
/// over the upstream's name. Rank 0 is responsible for the upstream, rank 1 is
/// its standby. Hosts with the same view agree. While views differ, two hosts
/// may both have rank 0, so every action of rank 0 must be idempotent.
class EngineFollowers {
public:
  /// Reads the present hosts and returns whether they have changed.
  bool update(const MembershipView &Members);

  /// Returns this host's rank for the upstream.
  std::size_t ownRank(const UpstreamId &Engine) const;
  /// Returns whether no host that ranks before this one is alive, so that this
  /// host acts in their place. Suspect hosts don't count as alive.
  bool isStandIn(const UpstreamId &Engine, const MembershipView &Members) const;

  /// Returns the other hosts of the zone.
  const std::vector<HostId> &others() const { return this->Others; }

private:
  HostId Self;
  std::vector<HostId> Others;
};

} // namespace banyanpick
