/// \file
/// How a team's limit is divided among entry hosts before any share moves: a
/// pure function of what a host sees.
///
/// A dead host's part goes to the others only where more than half of the
/// hosts that serve the team are seen to live. Of the pieces that a cut makes
/// at most one can do so; all others keep what they have. So the shares in use
/// on all hosts together stay under twice the limit, whatever the cut.
#pragma once

#include "kernel/Services.h"
#include "kernel/TeamHosts.h"

#include <span>
#include <vector>

namespace banyanpick {

/// An entry host as the split sees it.
struct ShareHost {
  TeamHostCandidate Candidate;
  Incarnation Life;
  bool IsDead = false;
  bool IsLeaving = false;

  bool operator==(const ShareHost &) const = default;
};

/// The units of a limit on a host before any moves.
struct BaseShare {
  HostId Host;
  std::uint64_t Units = 0;
};

/// One split. Hosts that see the same hosts and limits have the same view.
struct ShareView {
  std::uint64_t Id = 0;    ///< Hash of all that follows and of the lives.
  std::uint64_t Units = 0; ///< Into how many units the limit is divided.
  std::vector<BaseShare> Shares;

  /// Position of the host in Shares, or Shares.size().
  std::size_t find(const HostId &Host) const;
  std::uint64_t baseUnits(const HostId &Host) const;
  /// Names the split in a message to a receiver. The lives of the split's
  /// hosts are a part of Id; that of another host is added, as what one life
  /// was given is not the next one's.
  std::uint64_t keyFor(const HostId &Receiver, Incarnation Life) const;
};

/// This host and its peers, as membership sees them.
std::vector<ShareHost> shareHosts(const MembershipView &Members);

/// A limit on requests at once is divided into whole requests, others into a
/// thousand units.
ShareView shareView(const TeamId &Team, const TeamEntry &Limits,
                    std::span<const ShareHost> Hosts);

} // namespace banyanpick
