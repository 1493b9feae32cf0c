/// \file
/// Which live entry hosts serve a team, as this host sees it.
#pragma once

#include "kernel/Services.h"
#include "kernel/TeamHosts.h"

namespace banyanpick {

/// The live hosts at one moment, this one included. Made anew for each use:
/// it keeps a reference to the catalogue only.
class ServingHosts {
public:
  ServingHosts(const Catalogue &Entries, const MembershipView &Members);

  /// The hosts that serve the team, most preferred first; none when the team
  /// is not in the catalogue.
  std::vector<HostId> of(const TeamId &Team) const;

  /// The same without this host.
  std::vector<HostId> peersOf(const TeamId &Team) const;

private:
  const Catalogue &Entries;
  HostId Self;
  std::vector<TeamHostCandidate> Live;
};

} // namespace banyanpick
