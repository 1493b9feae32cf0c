/// \file
/// The reservation of memory on a group of engines.
#pragma once

#include "kernel/Services.h"

#include <map>
#include <vector>

namespace banyanpick {

/// The hold on one engine of a group.
struct GroupMember {
  UpstreamId Engine;
  HoldId Hold;
  enum class State { Pending, Requested, Granted } Status = State::Pending;
};

/// Memory that is reserved, or being reserved, on several engines. Holds are
/// acquired one after the other in the order of engine names, so that groups
/// can't deadlock. No hold is kept while waiting to retry.
struct GroupReservation {
  RequestId Owner;
  std::vector<GroupMember> Members; ///< Ordered by engine name.
  std::uint64_t TokensEach = 0;
  Time Deadline{};            ///< Deadline of the request and of its holds.
  std::uint32_t Attempts = 0; ///< Attempts started so far.
  Time Due{}; ///< Timeout of the requested hold, or time of the next attempt.
  enum class State { Waiting, Acquiring, Acquired } Status = State::Waiting;

  /// Returns a reservation with all members pending, in engine order.
  static GroupReservation forRequest(const Request &ClientRequest,
                                     const Selected &Choice);

  /// Returns the first member that is not granted, or null if all are.
  GroupMember *nextNotGranted();
  /// Returns the member with that hold, or null.
  GroupMember *find(const HoldId &Hold);
  std::vector<HoldId> holds() const;
};

} // namespace banyanpick
