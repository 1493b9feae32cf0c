/// \file
/// Whether this host can know that its catalogue is current.
#pragma once

#include "kernel/Services.h"

#include <algorithm>

namespace banyanpick {

/// Follows when the end of the log was last seen, here or through peers.
///
/// A host that saw the end of the log within the window is current; so is one
/// that has all that a peer had when the peer saw it. When the log is away for
/// everybody, nothing can be accepted, since an acceptance needs the log and
/// contact with most hosts; a host that hears from most hosts, none of which
/// reached the log within the window, therefore stays current. Only who was
/// current all the while may rely on that: a host that was paused or cut off
/// may have missed a change accepted before the outage. It is current again
/// when the log, or a peer that is current, has nothing new for it.
class CatalogueFreshness {
public:
  explicit CatalogueFreshness(Duration Window) : Window(Window) {}

  /// This host had everything the log held at \p When.
  void confirm(Time When) {
    this->ConfirmedAt = std::max(this->ConfirmedAt, When);
  }

  /// Takes in what a peer says of itself; \p Offset is in force here.
  void handleHeartbeat(const Heartbeat &Beat, LogOffset Offset, Time Now);

  /// Notes whether this host is current now; call it at each event, before
  /// anything else.
  void update(const MembershipView *Members, Time Now);

  /// \p Members may be null while there is no membership.
  bool isCurrent(const MembershipView *Members, Time Now) const;

  /// Whether this host heard from most of the hosts it knows within the
  /// window, itself included.
  bool hearsMajority(const MembershipView *Members, Time Now) const;

  Time confirmedAt() const { return this->ConfirmedAt; }

private:
  bool isLogUnreachableForAll(const MembershipView &Members, Time Now) const;

  Duration Window;
  Time ConfirmedAt{};
  /// When this host last knew that it had not missed anything; Time{}: it may
  /// have.
  Time LastCurrentAt{};
  Time UpdatedAt{};
  Time IgnoreHeartbeatsUntil{}; ///< After a pause: what is heard may be old.
};

} // namespace banyanpick
