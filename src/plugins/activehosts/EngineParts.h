/// \file
/// How engines are divided among the active hosts.
#pragma once

#include "plugins/activehosts/ActiveHosts.h"

namespace banyanpick {

/// Into how many parts so many engines of one service are divided; a power of
/// two, so that one more engine changes nothing for the others, and the parts
/// of a small service are unions of those of a large one.
///
/// The load that it answers: as many active hosts as a thousand engines need.
/// Hosts that choose among the same engines must tell each other what they have
/// on them, and weigh all of them for each request; undivided, that grows with
/// the square of the hosts and takes all of their processor time.
std::uint32_t partCount(std::size_t Engines, std::size_t ActiveHosts);

/// The part of each host, in the order given. Parts get nearly the same sum of
/// processor, so that callers, who are spread by it, load all engines alike. A
/// host that comes or goes changes few others.
std::vector<std::uint32_t> assignParts(std::span<const ActiveCandidate> Hosts,
                                       std::uint32_t Parts);

/// The part that a host has as long as it alone decides.
std::uint32_t preferredPart(const HostId &Host, std::uint32_t Parts);

} // namespace banyanpick
