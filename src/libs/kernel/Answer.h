/// \file
/// The final answers a caller can get.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace banyanpick {

/// Why a request was not run.
enum class RefusalReason {
  NotReady,       ///< This host does not know the catalogue yet.
  Leaving,        ///< This host is stopping; ask for another.
  NotCurrent,     ///< This host is cut off and can't know the catalogue.
  NotAllowed,     ///< Key wrong or class not the team's.
  BadRequest,     ///< Exceeds its class or lacks something.
  OverLimit,      ///< The team's own limit is used up.
  Overloaded,     ///< Can't end within its promise.
  NoUpstream,     ///< Nothing serves its target now.
  Quarantined,    ///< This content crashed upstreams.
  LogUnavailable, ///< A claim can't be recorded now.
  KeyTooOld,      ///< The operation key is older than claims are kept.
};

/// The kind's name as it stands in answers and logs.
std::string_view name(RefusalReason Reason);

/// The whole answer was delivered: Count chunks, or one result.
struct CompleteAnswer {
  std::uint64_t Count = 0;
  std::string Result; ///< An application call's result; empty for streams.

  bool operator==(const CompleteAnswer &) const = default;
};

/// The request did not run and will not.
struct NotRun {
  RefusalReason Reason = RefusalReason::NotReady;
  Duration RetryAfter{}; ///< Zero: asking again changes nothing.
  std::string Message;   ///< Names the remedy.

  bool operator==(const NotRun &) const = default;
};

/// The request started and did not succeed.
struct FailedAnswer {
  std::string Message;
  Duration RetryAfter{};

  bool operator==(const FailedAnswer &) const = default;
};

/// A non-idempotent call may or may not have run; it is never run again.
struct OutcomeUnknown {
  std::string Message;
  Duration RetryAfter{}; ///< When asking again may know more.

  bool operator==(const OutcomeUnknown &) const = default;
};

/// A non-idempotent call with this key is running on some host.
struct InProgress {
  Duration RetryAfter{};

  bool operator==(const InProgress &) const = default;
};

using FinalAnswer = std::variant<CompleteAnswer, NotRun, FailedAnswer,
                                 OutcomeUnknown, InProgress>;

} // namespace banyanpick
