/// \file
/// The base split of a team's limit among entry hosts, before any units are
/// transferred. A pure function of the membership view of a host.
///
/// The share of a dead host goes to the others only where more than half of
/// the hosts that serve the team are alive. In a network partition at most one
/// side has this majority; all other sides keep their shares. The shares in
/// use on all hosts together therefore stay below twice the limit.
#pragma once

#include "kernel/Services.h"
#include "kernel/TeamHosts.h"

#include <span>
#include <vector>

namespace banyanpick {

/// An entry host as an input of the split.
struct ShareHost {
  TeamHostCandidate Candidate;
  Incarnation Life;
  bool IsDead = false;
  bool IsLeaving = false;

  bool operator==(const ShareHost &) const = default;
};

/// The units of a limit on a host before any transfers.
struct BaseShare {
  HostId Host;
  std::uint64_t Units = 0;
};

/// One split of a limit. Hosts with the same membership view and the same
/// limits compute the same split.
struct ShareView {
  std::uint64_t Id = 0;    ///< Hash of the other fields, limits, incarnations.
  std::uint64_t Units = 0; ///< Number of units that the limit is divided into.
  std::vector<BaseShare> Shares;

  /// Returns the position of the host in Shares, or Shares.size().
  std::size_t find(const HostId &Host) const;
  std::uint64_t baseUnits(const HostId &Host) const;
  /// Returns the key of the split in a message to \p Receiver. Id contains the
  /// incarnations of the hosts of the split. For any other host the key also
  /// contains its incarnation, because a restarted host does not keep the units
  /// that its previous incarnation received.
  std::uint64_t keyFor(const HostId &Receiver, Incarnation Life) const;
};

/// Returns this host and its peers from the membership view.
std::vector<ShareHost> shareHosts(const MembershipView &Members);

/// Computes the base split. A limit on concurrent requests is divided into
/// single requests, any other limit into a thousand units.
ShareView shareView(const TeamId &Team, const TeamEntry &Limits,
                    std::span<const ShareHost> Hosts);

} // namespace banyanpick
