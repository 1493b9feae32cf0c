/// \file
/// Which entry hosts look after an upstream: poll it, pass its load on, and
/// free its memory.
#pragma once

#include "kernel/Services.h"

namespace banyanpick {

/// The place of this host among the hosts of its zone that stay, by rendezvous
/// hash over the upstream's name: 0 looks after it, 1 stands by. Hosts with
/// the same view agree; while views differ two may think they are first, so
/// whatever the first one does must be harmless twice.
class EngineFollowers {
public:
  /// Takes the present hosts in; true when they have changed.
  bool update(const MembershipView &Members);

  /// This host's place for the upstream.
  std::size_t ownRank(const UpstreamId &Engine) const;
  /// Whether the hosts before this one are all under suspicion.
  bool isStandIn(const UpstreamId &Engine, const MembershipView &Members) const;

  /// The other hosts of the zone.
  const std::vector<HostId> &others() const { return this->Others; }

private:
  HostId Self;
  std::vector<HostId> Others;
};

} // namespace banyanpick
