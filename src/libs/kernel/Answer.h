/// \file
/// The final answers that a caller can receive.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace banyanpick {

/// Why a request was not run.
enum class RefusalReason {
  NotReady,       ///< This host has not loaded the catalogue yet.
  Leaving,        ///< This host is stopping; use another host.
  NotCurrent,     ///< This host is partitioned; its catalogue may be stale.
  NotAllowed,     ///< The key is wrong or the class belongs to another team.
  BadRequest,     ///< Exceeds the limits of its class or lacks a field.
  OverLimit,      ///< The team has used up its limit.
  Overloaded,     ///< Cannot be completed before its deadline.
  NoUpstream,     ///< No upstream serves the target now.
  Quarantined,    ///< This content crashed upstreams.
  LogUnavailable, ///< The log cannot record a claim now.
  KeyTooOld,      ///< The operation key is older than the claim retention.
};

/// Returns the reason's name as written in answers and logs.
std::string_view name(RefusalReason Reason);

/// The complete answer was delivered: Count chunks, or one result.
struct CompleteAnswer {
  std::uint64_t Count = 0;
  std::string Result; ///< Result of an application call; empty for streams.

  bool operator==(const CompleteAnswer &) const = default;
};

/// The request did not run and will not run.
struct NotRun {
  RefusalReason Reason = RefusalReason::NotReady;
  Duration RetryAfter{}; ///< Zero: a retry cannot succeed.
  std::string Message;   ///< Says what the caller can do.

  bool operator==(const NotRun &) const = default;
};

/// The request started and did not succeed.
struct FailedAnswer {
  std::string Message;
  Duration RetryAfter{};

  bool operator==(const FailedAnswer &) const = default;
};

/// A non-idempotent call may or may not have run. It is never run again.
struct OutcomeUnknown {
  std::string Message;
  Duration RetryAfter{}; ///< When a retry may learn the outcome.

  bool operator==(const OutcomeUnknown &) const = default;
};

/// A non-idempotent call with this operation key is running on some host.
struct InProgress {
  Duration RetryAfter{};

  bool operator==(const InProgress &) const = default;
};

using FinalAnswer = std::variant<CompleteAnswer, NotRun, FailedAnswer,
                                 OutcomeUnknown, InProgress>;

} // namespace banyanpick
