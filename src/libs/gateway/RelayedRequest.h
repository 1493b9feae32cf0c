/// \file
/// A request that is relayed whole to an upstream, its tries, and how they
/// end.
#pragma once

#include "gateway/EngineRecord.h"

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

/// What decides on a relayed request. Its headers and body stay with the
/// traffic thread.
struct RelayHead {
  RequestId Id;
  std::string CallerAttempt; ///< The caller's id of this try, for logs.
  std::string Host;
  std::string Path; ///< Without the query.
  std::string Key;  ///< Never logged; empty when none was sent.
  std::optional<Duration> Remaining; ///< How long the caller will wait.
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0;
  std::optional<std::uint64_t> LastEvent; ///< The caller resumes after it.
  Fingerprint Content; ///< Equal for equal path, caller and body.

  bool operator==(const RelayHead &) const = default;
};

/// Memory of another engine that a prompt is read on, too.
struct HelperEngine {
  UpstreamId Engine;
  Address At;
  std::string Reservation;  ///< Empty: it reads a part and keeps nothing.
  std::uint64_t Tokens = 0; ///< Memory set aside under the reservation.

  bool operator==(const HelperEngine &) const = default;
};

/// Send the request to the upstream.
struct DispatchRelay {
  AttemptId Attempt;
  RequestId Request;
  UpstreamId Engine; ///< Another one at the address must refuse it.
  Address At;
  TeamId Team;          ///< Empty: told to nobody.
  bool DropKey = false; ///< The caller's key is not passed on.
  Time Deadline{};      ///< The upstream is told what is left until then.
  std::optional<std::uint32_t> Urgency;   ///< 0 is the most urgent.
  std::optional<std::uint64_t> LastEvent; ///< Resume after this event.
  std::vector<HelperEngine> Helpers;
  bool Fresh = false;  ///< Not over a kept connection.
  bool Stream = false; ///< The answer is a series of events.
  /// A stream that gives nothing for so long after its first event is given up
  /// as silent; zero: never.
  Duration MaxSilence{};

  bool operator==(const DispatchRelay &) const = default;
};

/// Drop the try: close its connection.
struct CancelRelay {
  AttemptId Attempt;

  bool operator==(const CancelRelay &) const = default;
};

/// Why a request ends without an upstream's answer.
enum class RefusalKind {
  NoSuchRoute,
  UnknownKey,
  NotRun,         ///< It never ran and never will; may be sent again.
  OutcomeUnknown, ///< It may have run.
  TimedOut,       ///< Its time is over; it may have run.
};

/// The kind's name in logs and metrics.
std::string_view name(RefusalKind Kind);

/// The final answer made by this host.
struct RefuseRelay {
  RequestId Request;
  RefusalKind Kind = RefusalKind::NotRun;
  Duration RetryAfter{}; ///< With NotRun: when to come back.
  std::string Message;

  bool operator==(const RefuseRelay &) const = default;
};

/// Give the caller the upstream's failure that the try ended with.
struct DeliverFailure {
  RequestId Request;
  AttemptId Attempt;

  bool operator==(const DeliverFailure &) const = default;
};

/// Break off an answer that has begun, so that it does not look complete.
struct BreakRelay {
  RequestId Request;

  bool operator==(const BreakRelay &) const = default;
};

/// No byte of the request was handed to a transport.
struct RelayNeverSent {
  /// Taken back here, as the upstream asked for rest meanwhile.
  bool Withdrawn = false;

  bool operator==(const RelayNeverSent &) const = default;
};

/// The upstream said that it did not run the request.
struct RelayNotRun {
  bool OtherEngine = false;        ///< Another upstream has the address now.
  std::uint32_t Status = 0;        ///< Of its answer.
  std::optional<Address> FailedAt; ///< The engine at fault, when it told.

  bool operator==(const RelayNotRun &) const = default;
};

/// The engine at fault: a helper, or else \p Engine itself.
UpstreamId faultyEngine(const RelayNotRun &Is, const UpstreamId &Engine,
                        std::span<const HelperEngine> Helpers);

/// The upstream's whole answer went to the caller.
struct RelayDelivered {
  std::uint32_t Status = 200;
  Duration MaxEventGap{}; ///< Between two reads of a stream's events.

  bool operator==(const RelayDelivered &) const = default;
};

/// The upstream ran it and answered with a failure, which is kept.
struct RelayFailed {
  std::uint32_t Status = 500;

  bool operator==(const RelayFailed &) const = default;
};

/// There is no whole answer, and the upstream may have run it.
struct RelayBroken {
  enum class Why {
    Reset,     ///< The connection was reset or closed.
    Silent,    ///< Nothing came; the transport gave up.
    Malformed, ///< What came is no answer in the protocol.
    Foreign,   ///< What came answers another request.
    Corrupt,   ///< The body is cut or altered.
  } Reason = Why::Reset;
  bool Began = false; ///< The caller has got a part of the answer.
  std::optional<std::uint64_t> LastEvent; ///< The last whole event passed on.

  bool operator==(const RelayBroken &) const = default;
};

/// The reason's name in logs and metrics.
std::string_view name(RelayBroken::Why Reason);

using RelayOutcome = std::variant<RelayNeverSent, RelayNotRun, RelayDelivered,
                                  RelayFailed, RelayBroken>;

} // namespace banyanpick
