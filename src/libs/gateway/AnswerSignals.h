/// \file
/// What an upstream's answer says of the upstream itself, whatever it answers.
#pragma once

#include "base/Time.h"
#include "gateway/EngineLimit.h"

#include <string>

namespace banyanpick {

/// It asks for no rest.
struct NoBackoff {
  bool operator==(const NoBackoff &) const = default;
};
/// It wants no request of this host for so long.
struct BackoffRequested {
  Duration For{}; ///< Not negative, at most MaxBackoff.

  bool operator==(const BackoffRequested &) const = default;
};
/// It asks for a rest whose length can't be read, or is out of bounds.
struct BackoffUnreadable {
  std::string Text;         ///< The beginning of what it said.
  Duration AppliedLength{}; ///< The rest that is given all the same.

  bool operator==(const BackoffUnreadable &) const = default;
};

using BackoffSignal =
    std::variant<NoBackoff, BackoffRequested, BackoffUnreadable>;

/// How long it lasts, whether it could be read or not.
Duration backoffLength(const BackoffSignal &Of);

/// A longer rest is taken for this one: nobody asks for a day in earnest.
inline constexpr hours MaxBackoff(1);

/// The rest that is given where its length can't be read: long enough for the
/// upstream to work off what it has.
inline constexpr seconds DefaultBackoff(1);

/// Whether it says that it leaves: it takes nothing new and ends soon.
enum class LeavingSignal {
  Absent,
  Present,
  Unreadable, ///< It says something of it; taken as said.
};

/// All of it.
struct AnswerSignals {
  LimitSignal Limit;
  BackoffSignal Backoff;
  LeavingSignal Leaving = LeavingSignal::Absent;

  bool operator==(const AnswerSignals &) const = default;
};

} // namespace banyanpick
