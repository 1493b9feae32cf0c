/// \file
/// The taking of one group's memory: hold after hold, in engine order.
#pragma once

#include "kernel/Services.h"

#include <map>
#include <vector>

namespace banyanpick {

/// One hold that is wanted, asked for, or had.
struct GroupMember {
  UpstreamId Engine;
  HoldId Hold;
  enum class State { Pending, Requested, Granted } Status = State::Pending;
};

/// Memory taken on several engines, or on the way there. Holds are taken one
/// after the other in the order of engine names, so that two groups never
/// wait for each other in a circle; nothing is kept while waiting to retry.
struct GroupReservation {
  RequestId Owner;
  std::vector<GroupMember> Members; ///< By engine name.
  std::uint64_t TokensEach = 0;
  Time Deadline{};            ///< Of the request, and so of its holds.
  std::uint32_t Attempts = 0; ///< Begun so far.
  Time Due{};                 ///< The running question's timeout, or next try.
  enum class State { Waiting, Acquiring, Acquired } Status = State::Waiting;

  /// Members in engine order, all wanted.
  static GroupReservation forRequest(const Request &ClientRequest,
                                     const Selected &Choice);

  /// The first member not granted, or null when all are.
  GroupMember *nextPending();
  /// The member of that hold, or null.
  GroupMember *find(const HoldId &Hold);
  std::vector<HoldId> holds() const;
};

} // namespace banyanpick
