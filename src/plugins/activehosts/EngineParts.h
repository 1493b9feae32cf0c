/// \file
/// Divides the engines of a service among the active hosts.
#pragma once

#include "plugins/activehosts/ActiveHosts.h"

namespace banyanpick {

/// Returns the number of parts into which \p Engines engines of one service are
/// divided. It is a power of two, so that one more engine changes nothing for
/// the others, and the parts of a small service are unions of the parts of a
/// large one.
///
/// Engines are divided because of services with a thousand engines and as many
/// active hosts as these need. Hosts that choose among the same engines must
/// report their requests on them to each other, and compare all of the engines
/// for each request. Undivided, this cost grows with the square of the hosts
/// and takes all of their processor time.
std::uint32_t partCount(std::size_t Engines, std::size_t ActiveHosts);

/// Returns the part of each host, in the order of \p Hosts. All parts get
/// nearly the same total processor. Callers are distributed by processor, so
/// the load of all engines is nearly the same. A host that joins or leaves
/// changes the part of few others.
std::vector<std::uint32_t> assignParts(std::span<const ActiveCandidate> Hosts,
                                       std::uint32_t Parts);

/// Returns the part that a host has when no other host is considered.
std::uint32_t preferredPart(const HostId &Host, std::uint32_t Parts);

} // namespace banyanpick
