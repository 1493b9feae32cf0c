/// \file
/// What an upstream's answer says of the upstream itself, whatever it answers.
#pragma once

#include "base/Time.h"
#include "gateway/EngineLimit.h"

#include <string>

namespace banyanpick {

/// It asks for no rest.
struct RestUnasked {
  bool operator==(const RestUnasked &) const = default;
};
/// It wants no request of this host for so long.
struct RestAsked {
  Duration For{}; ///< Not negative, at most LongestRest.

  bool operator==(const RestAsked &) const = default;
};
/// It asks for a rest whose length can't be read, or is out of bounds.
struct RestUnreadable {
  std::string Text;   ///< The beginning of what it said.
  Duration TakenAs{}; ///< The rest that is given all the same.

  bool operator==(const RestUnreadable &) const = default;
};

using RestSaid = std::variant<RestUnasked, RestAsked, RestUnreadable>;

/// How long it lasts, whether it could be read or not.
Duration lengthOf(const RestSaid &Of);

/// A longer rest is taken for this one: nobody asks for a day in earnest.
inline constexpr hours LongestRest(1);

/// The rest that is given where its length can't be read: long enough for the
/// upstream to work off what it has.
inline constexpr seconds CautiousRest(1);

/// Whether it says that it leaves: it takes nothing new and ends soon.
enum class LeavingSaid {
  Unsaid,
  Said,
  Unreadable, ///< It says something of it; taken as said.
};

/// All of it.
struct EngineWord {
  LimitSaid Limit;
  RestSaid Rest;
  LeavingSaid Leaving = LeavingSaid::Unsaid;

  bool operator==(const EngineWord &) const = default;
};

} // namespace banyanpick
