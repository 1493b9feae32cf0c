/// \file
/// Chooses another host to which a request is forwarded.
#pragma once

#include "base/Random.h"
#include "kernel/Services.h"

#include <span>

namespace banyanpick {

/// Returns the name under which attempts at the host are recorded. No engine
/// has such a name.
UpstreamId forwardTarget(const HostId &Host);

/// Returns a host that takes requests and reaches engines, preferably in
/// \p Zone, or null if there is none. Hosts whose forwardTarget() is in
/// \p Excluded are not chosen.
const Member *choosePeer(std::span<const Member> Peers, const ZoneId &Zone,
                         std::span<const UpstreamId> Excluded, Random &Rng);

} // namespace banyanpick
