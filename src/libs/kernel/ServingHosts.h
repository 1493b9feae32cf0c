/// \file
/// The live entry hosts that serve a team, in this host's view.
#pragma once

#include "kernel/Services.h"
#include "kernel/TeamHosts.h"

namespace banyanpick {

/// A snapshot of the live hosts, including this host. Construct it for each
/// use. It keeps a reference to the catalogue but not to the membership.
class ServingHosts {
public:
  ServingHosts(const Catalogue &Entries, const MembershipView &Members);

  /// Returns the hosts that serve the team, most preferred first. Returns none
  /// if the team is not in the catalogue.
  std::vector<HostId> of(const TeamId &Team) const;

  /// Returns the hosts that serve the team without this host.
  std::vector<HostId> peersOf(const TeamId &Team) const;

private:
  const Catalogue &Entries;
  HostId Self;
  std::vector<TeamHostCandidate> Live;
};

} // namespace banyanpick
