/// \file
/// The signals about an upstream that its answers carry, independent of the
/// answered request.
#pragma once

#include "base/Time.h"
#include "gateway/EngineLimit.h"

#include <string>

namespace banyanpick {

/// The upstream asks for no backoff.
struct NoBackoff {
  bool operator==(const NoBackoff &) const = default;
};
/// The upstream asks this host to send no requests for a time.
struct BackoffRequested {
  Duration For{}; ///< Not negative, at most MaxBackoff.

  bool operator==(const BackoffRequested &) const = default;
};
/// The upstream asks for a backoff whose length cannot be parsed or is out of
/// range.
struct BackoffUnreadable {
  std::string Text;         ///< The beginning of the received text.
  Duration AppliedLength{}; ///< The length that is used instead.

  bool operator==(const BackoffUnreadable &) const = default;
};

using BackoffSignal =
    std::variant<NoBackoff, BackoffRequested, BackoffUnreadable>;

/// Returns the length of the backoff, also if it could not be parsed.
Duration backoffLength(const BackoffSignal &Signal);

/// The maximum length of a backoff. An upstream that asks for longer, such as a
/// day, is assumed to be in error and gets this length.
inline constexpr hours MaxBackoff(1);

/// The length that is used if the requested length cannot be parsed. It is long
/// enough for the upstream to finish its current work.
inline constexpr seconds DefaultBackoff(1);

/// Whether the upstream reports that it is leaving: it accepts no new requests
/// and stops soon.
enum class LeavingSignal {
  Absent,
  Present,
  Unreadable, ///< The signal cannot be parsed; treated as Present.
};

/// The upstream does not say that it is cold.
struct NotCold {
  bool operator==(const NotCold &) const = default;
};
/// The upstream is cold for some time.
struct ColdDeclared {
  Duration For{}; ///< Positive, at most MaxColdTime.

  bool operator==(const ColdDeclared &) const = default;
};
/// The upstream says for how long it is cold, but the time cannot be parsed or
/// is out of range.
struct ColdUnreadable {
  std::string Text; ///< The beginning of the received text.

  bool operator==(const ColdUnreadable &) const = default;
};

using ColdSignal = std::variant<NotCold, ColdDeclared, ColdUnreadable>;

/// The maximum cold time. A longer one is assumed to be an error.
inline constexpr std::chrono::minutes MaxColdTime(10);

/// All signals of one answer.
struct AnswerSignals {
  LimitSignal Limit;
  BackoffSignal Backoff;
  LeavingSignal Leaving = LeavingSignal::Absent;
  ColdSignal Cold;

  bool operator==(const AnswerSignals &) const = default;
};

} // namespace banyanpick
