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
  enum class State { Wanted, Asked, Granted } Is = State::Wanted;
};

/// Memory taken on several engines, or on the way there. Holds are taken one
/// after the other in the order of engine names, so that two groups never
/// wait for each other in a circle; nothing is kept while waiting to retry.
struct GroupTaking {
  RequestId Owner;
  std::vector<GroupMember> Members; ///< By engine name.
  std::uint64_t TokensEach = 0;
  Time Deadline{};         ///< Of the request, and so of its holds.
  std::uint32_t Tries = 0; ///< Begun so far.
  Time Due{};              ///< The running question's timeout, or next try.
  enum class State { Waiting, Taking, Taken } Is = State::Waiting;

  /// Members in engine order, all wanted.
  static GroupTaking of(const Request &Asked, const Selected &Choice);

  /// The first member not granted, or null when all are.
  GroupMember *next();
  /// The member of that hold, or null.
  GroupMember *find(const HoldId &Hold);
  std::vector<HoldId> holds() const;
};

} // namespace banyanpick
