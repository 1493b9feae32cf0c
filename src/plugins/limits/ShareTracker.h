/// \file
/// The units of a team's limit that one host holds in one split, which divides
/// the limit among hosts. Hosts transfer units by cumulative counts, as in a
/// bounded counter (Balegas et al., 2015). The sender reduces its own share
/// before it sends a message. A repeated message has no effect. A lost message
/// reduces the capacity until the message is repeated.
#pragma once

#include "plugins/limits/ShareView.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanpick {

/// A transfer to a host: all units sent to it since the split took effect.
struct ShareTransfer {
  HostId To;
  std::uint64_t CumulativeUnits = 0;
};

/// The demand for the limit on a host.
struct HostDemand {
  HostId Host;
  double DemandFraction = 0; ///< As a fraction of the whole limit.
};

/// The hosts of the split have base shares. Other hosts start without units and
/// receive some by demand, because callers may use an older answer of resolve.
class ShareTracker {
public:
  ShareTracker(ShareView Split, HostId Self);

  /// Returns the units that this host may use.
  std::uint64_t units() const { return this->Held; }
  const ShareView &view() const { return this->Split; }
  std::uint64_t totalUnits() const { return this->Split.Units; }
  double fraction() const;

  /// Transfers units towards the split that matches \p Demands. \p Demands
  /// contains each host once, including this one. At most \p Free units are
  /// transferred.
  std::vector<ShareTransfer>
  transferByDemand(std::span<const HostDemand> Demands, std::uint64_t Free);

  /// Returns all transfers so far, for repetition.
  std::vector<ShareTransfer> transfers() const;

  /// Handles a transfer from a peer. \p CumulativeUnits is the sum of all units
  /// that the peer sent to this host.
  void receiveShare(const HostId &From, std::uint64_t CumulativeUnits);

  /// Takes back the units that came from this host, after the incarnation of a
  /// host without a base share has ended.
  void reclaimFrom(const HostId &Host);

  /// Returns whether the base share plus the received units equals the held
  /// units plus the sent units.
  bool isConsistent() const;

private:
  struct PeerBalance {
    std::uint64_t Sent = 0;
    std::uint64_t Received = 0;
  };

  ShareView Split;
  HostId Self;
  std::map<HostId, PeerBalance> Balances;
  std::uint64_t Held = 0;
};

/// Returns the units that each host should hold, in the order of \p Demands.
/// The units follow the demand, with a small part for each host of the split.
/// Their sum never exceeds the units of the split. Returns the base split if
/// there is no demand.
std::vector<std::uint64_t> targetUnits(const ShareView &View,
                                       std::span<const HostDemand> Demands);

} // namespace banyanpick
