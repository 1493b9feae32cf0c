/// \file
/// What one host holds of a team's limit in one view. Shares move by
/// cumulative counts of units given, as in a bounded counter (Balegas et al.,
/// 2015): the giver's own share falls before anything is sent, a repeat
/// changes nothing, and a loss only loses capacity until the next repeat.
#pragma once

#include "plugins/limits/ShareView.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanpick {

/// Units to be told to a receiver: all given to it since the view began.
struct ShareTransfer {
  HostId To;
  std::uint64_t CumulativeUnits = 0;
};

/// How much of the limit is asked for on a host.
struct HostDemand {
  HostId Host;
  double DemandFraction = 0; ///< As a part of the whole limit.
};

/// The view's hosts have base shares. Other hosts, guests, start with none and
/// get some by demand, as callers may hold an older answer of resolve.
class ShareTracker {
public:
  ShareTracker(ShareView Split, HostId Self);

  /// Units this host may use.
  std::uint64_t units() const { return this->Held; }
  const ShareView &view() const { return this->Split; }
  std::uint64_t totalUnits() const { return this->Split.Units; }
  double fraction() const;

  /// Gives towards the split that \p Demands ask for, which name each host
  /// once and this one among them. At most \p Free units are given.
  std::vector<ShareTransfer>
  transferByDemand(std::span<const HostDemand> Demands, std::uint64_t Free);

  /// All gifts so far, to be repeated.
  std::vector<ShareTransfer> transfers() const;

  /// A peer says what it gave to this host in all.
  void receiveShare(const HostId &From, std::uint64_t CumulativeUnits);

  /// The guest's life is over: what it held is this host's again as far as it
  /// came from here.
  void reclaimFrom(const HostId &Host);

  /// Whether base, gifts and what was received agree with what is held.
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

/// The units each of the hosts should hold, in the order of \p Demands: by
/// demand, with a small part for each of the view's hosts, and never more than
/// the view's units together. The base split when nobody asks for anything.
std::vector<std::uint64_t> targetUnits(const ShareView &View,
                                       std::span<const HostDemand> Demands);

} // namespace banyanpick
