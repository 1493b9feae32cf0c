/// \file
/// Assigns entry hosts to teams. Resolve returns a team's hosts to callers, and
/// the team's limits are split among these hosts.
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

/// Minimum number of hosts that serve a team, so that two of them may fail at
/// the same time.
inline constexpr std::size_t MinTeamHosts = 3;

/// The part of a team's declared limits that one host serves. A team with
/// higher limits is assigned more hosts.
inline constexpr double RequestsPerMinutePerTeamHost = 300;
inline constexpr double TokensPerMinutePerTeamHost = 4e6;
inline constexpr double ConcurrentPerTeamHost = 32;

/// Returns how many of \p Hosts entry hosts serve a team with these limits. All
/// hosts serve a team without limits.
std::size_t teamHostCount(const TeamEntry &Limits, std::size_t Hosts);

/// Returns the hosts of \p Hosts that serve the team, most preferred first. The
/// result does not depend on the order of \p Hosts, so all hosts with the same
/// view agree. Rendezvous hashing keeps the number of reassigned teams small
/// when a host is added or removed. Each zone is used once before a zone is
/// used twice.
std::vector<HostId> teamHosts(const TeamId &Team, const TeamEntry &Limits,
                              std::span<const TeamHostCandidate> Hosts);

} // namespace banyanpick
