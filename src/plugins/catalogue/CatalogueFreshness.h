/// \file
/// Determines whether this host knows that its catalogue is current.
#pragma once

#include "kernel/Services.h"

#include <algorithm>

namespace banyanpick {

/// Tracks when the end of the log was last read, by this host or by peers.
///
/// A host is current if it read the end of the log within the window, or if it
/// has everything that a peer had when the peer read the end of the log.
///
/// While no host reaches the log, no change can be accepted, because acceptance
/// needs the log and contact with most hosts. A host therefore stays current
/// while it hears from most hosts and none of them reached the log within the
/// window. This holds only for a host that was current throughout. A host that
/// was paused or cut off may have missed a change accepted before the outage.
/// It becomes current again when the log, or a current peer, has nothing new.
class CatalogueFreshness {
public:
  explicit CatalogueFreshness(Duration Window) : Window(Window) {}

  /// Called when this host has everything that the log held at \p When.
  void confirm(Time When) {
    this->ConfirmedAt = std::max(this->ConfirmedAt, When);
  }

  /// Handles the heartbeat of a peer. \p Offset is in force on this host.
  void handleHeartbeat(const Heartbeat &Beat, LogOffset Offset, Time Now);

  /// Updates whether this host is current. Must be called at each event before
  /// any other member.
  void update(const MembershipView *Members, Time Now);

  /// Whether the catalogue is current. \p Members may be null while there is no
  /// membership.
  bool isCurrent(const MembershipView *Members, Time Now) const;

  /// Whether this host heard from most of the hosts that it knows, itself
  /// included, within the window.
  bool hearsMajority(const MembershipView *Members, Time Now) const;

  Time confirmedAt() const { return this->ConfirmedAt; }

private:
  bool isLogUnreachableForAll(const MembershipView &Members, Time Now) const;

  Duration Window;
  Time ConfirmedAt{};
  /// When this host last knew that it had missed nothing; Time{} if it may have
  /// missed something.
  Time LastCurrentAt{};
  Time UpdatedAt{};
  /// Heartbeats handled before this may be old, because of a pause.
  Time IgnoreHeartbeatsUntil{};
};

} // namespace banyanpick
