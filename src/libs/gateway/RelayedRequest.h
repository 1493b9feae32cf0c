/// \file
/// A request that is relayed to an upstream as a whole, its attempts and their
/// outcomes.
#pragma once

#include "gateway/EngineRecord.h"

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

/// The properties of a relayed request that decisions depend on. The headers
/// and the body stay with the traffic thread.
struct RelayHead {
  RequestId Id;
  std::string CallerAttempt; ///< The caller's id of this attempt, for logs.
  std::string Host;
  std::string Path;                  ///< Without the query.
  std::string Key;                   ///< Never logged; empty if none was sent.
  std::optional<Duration> Remaining; ///< How long the caller will wait.
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0;
  std::optional<std::uint64_t> LastEvent; ///< The caller resumes after this.
  Fingerprint Content; ///< Equal for equal path, caller and body.
  /// The parts of its prompt that other requests may share; without the last
  /// part, which is its own or that of its session.
  std::vector<Fingerprint> PromptParts;
  bool IsForwarded = false; ///< Another host forwards it.

  bool operator==(const RelayHead &) const = default;
};

/// Another engine that takes part in the prefill of a prompt.
struct HelperEngine {
  UpstreamId Engine;
  Address At;
  std::string Reservation;  ///< Empty: prefills a part but stores nothing.
  std::uint64_t Tokens = 0; ///< Memory reserved under this reservation.

  bool operator==(const HelperEngine &) const = default;
};

/// Sends the request to the upstream.
struct DispatchRelay {
  AttemptId Attempt;
  RequestId Request;
  UpstreamId Engine; ///< Another upstream at the address must refuse it.
  Address At;
  TeamId Team;          ///< Not sent to the upstream if empty.
  bool DropKey = false; ///< The caller's key is not forwarded.
  Time Deadline{};      ///< The remaining time is sent to the upstream.
  std::optional<std::uint32_t> Urgency;   ///< 0 is the most urgent.
  std::optional<std::uint64_t> LastEvent; ///< Resume after this event.
  std::vector<HelperEngine> Helpers;
  bool Fresh = false;     ///< Do not reuse a connection.
  bool Stream = false;    ///< The answer is a series of events.
  bool IsForward = false; ///< At is another host, which sends it to an engine.
  /// A stream that sends nothing for this time after its first event fails as
  /// silent. Zero disables the timeout.
  Duration MaxSilence{};
  /// Connections that this host may have to the upstream, idle and in use; zero
  /// disables the limit.
  std::uint32_t MaxConnections = 0;

  bool operator==(const DispatchRelay &) const = default;
};

/// Cancels the attempt by closing its connection.
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
  TimedOut,       ///< Its deadline has passed; it may have run.
};

/// Returns the kind's name in logs and metrics.
std::string_view name(RefusalKind Kind);

/// Sends a final answer that this host generates.
struct RefuseRelay {
  RequestId Request;
  RefusalKind Kind = RefusalKind::NotRun;
  Duration RetryAfter{}; ///< With NotRun: delay before a retry.
  std::string Message;

  bool operator==(const RefuseRelay &) const = default;
};

/// Sends the caller the upstream's failure with which the attempt ended.
struct DeliverFailure {
  RequestId Request;
  AttemptId Attempt;

  bool operator==(const DeliverFailure &) const = default;
};

/// Aborts an answer that has begun, so that it does not appear complete.
struct BreakRelay {
  RequestId Request;

  bool operator==(const BreakRelay &) const = default;
};

/// No byte of the request was passed to a transport.
struct RelayNeverSent {
  enum class Why {
    NotConnected, ///< The transport timed out or failed.
    Refused,      ///< No process accepts connections at the address.
    Withdrawn,    ///< This host withdrew the attempt because the upstream asked
                  ///< for a backoff, or its zone was evacuated, in the
                  ///< meantime.
  } Reason = Why::NotConnected;

  bool operator==(const RelayNeverSent &) const = default;
};

/// Returns the reason's name in logs and metrics.
std::string_view name(RelayNeverSent::Why Reason);

/// The upstream reported that it did not run the request.
struct RelayNotRun {
  bool OtherEngine = false;        ///< Another upstream has the address now.
  std::uint32_t Status = 0;        ///< HTTP status of the answer.
  std::optional<Address> FailedAt; ///< The faulty engine, if reported.

  bool operator==(const RelayNotRun &) const = default;
};

/// Returns the faulty engine: a helper or \p Engine itself.
UpstreamId faultyEngine(const RelayNotRun &Outcome, const UpstreamId &Engine,
                        std::span<const HelperEngine> Helpers);

/// The upstream's complete answer was sent to the caller.
struct RelayDelivered {
  std::uint32_t Status = 200;
  Duration MaxEventGap{}; ///< Longest time between two reads of the stream.
  /// How the end of the answer was recognized.
  enum class Ending {
    Unseen,     ///< The caller did not wait for it.
    Explicit,   ///< By its length or last chunk: the upstream outlived it.
    Connection, ///< By the end of the connection, which may be a crash.
  } End = Ending::Unseen;

  bool operator==(const RelayDelivered &) const = default;
};

/// The upstream ran the request and answered with a failure. The traffic thread
/// keeps the failure.
struct RelayFailed {
  std::uint32_t Status = 500;

  bool operator==(const RelayFailed &) const = default;
};

/// The answer is incomplete, and the upstream may have run the request.
struct RelayBroken {
  enum class Why {
    Reset,     ///< The connection was reset or closed.
    Silent,    ///< The transport timed out without an answer.
    Malformed, ///< The answer violates the protocol.
    Foreign,   ///< The answer belongs to another request.
    Corrupt,   ///< The body is truncated or altered.
  } Reason = Why::Reset;
  bool Began = false; ///< The caller has received a part of the answer.
  std::optional<std::uint64_t> LastEvent; ///< Last complete event forwarded.

  bool operator==(const RelayBroken &) const = default;
};

/// Returns the reason's name in logs and metrics.
std::string_view name(RelayBroken::Why Reason);

using RelayOutcome = std::variant<RelayNeverSent, RelayNotRun, RelayDelivered,
                                  RelayFailed, RelayBroken>;

/// Returns whether callers read the HTTP status as "the request never ran". An
/// engine that ran the request and failed may answer with it nevertheless; its
/// caller would send the request again.
bool claimsNotRun(std::uint32_t Status);

/// Whether the upstream sent an answer of any kind.
bool isAnswer(const RelayOutcome &Outcome);

} // namespace banyanpick
