/// \file
/// Which entry hosts serve a team. Resolve names them to callers, and the
/// team's limits are split among them.
#pragma once

#include "catalogue/Entry.h"

#include <span>
#include <vector>

namespace banyanpick {

/// An entry host that may serve a team.
struct TeamHostCandidate {
  HostId Host;
  ZoneId Zone;

  bool operator==(const TeamHostCandidate &) const = default;
};

/// Hosts that serve even the smallest team, so that two may fail at once.
inline constexpr std::size_t MinTeamHosts = 3;

/// What one host should carry of a team's declared limits before the team is
/// given another host.
inline constexpr double RequestsPerMinutePerTeamHost = 300;
inline constexpr double TokensPerMinutePerTeamHost = 4e6;
inline constexpr double ConcurrentPerTeamHost = 32;

/// How many of \p Hosts entry hosts serve a team with these limits. A team
/// without any limit is served by all.
std::size_t teamHostCount(const TeamEntry &Limits, std::size_t Hosts);

/// The hosts of \p Hosts that serve the team, most preferred first: the same
/// on every host that sees the same hosts, whatever their order. Chosen by
/// rendezvous hash, so that a host that comes or goes moves few teams, and
/// spread over the zones before a zone is used twice.
std::vector<HostId> teamHosts(const TeamId &Team, const TeamEntry &Limits,
                              std::span<const TeamHostCandidate> Hosts);

} // namespace banyanpick
