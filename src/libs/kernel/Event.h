/// \file
/// The events that a kernel handles. The driver (daemon or test harness)
/// converts I/O into events and passes each one with the current time.
#pragma once

#include "gateway/GatewayEvent.h"
#include "kernel/LogRecord.h"
#include "kernel/Operator.h"
#include "kernel/PeerMessage.h"
#include "kernel/Request.h"
#include "kernel/Upstream.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

using ResolveRequestId = StrongId<struct ResolveQuestionTag, std::uint64_t>;
using AppendId = StrongId<struct AppendTag, std::uint64_t>;

// --- callers

struct RequestArrived {
  RequestHead Head;
};
/// The caller disconnected and does not wait for the answer.
struct CallerDisconnected {
  RequestId Request;
};
/// A caller reconnected with the resume token of a stream that this host serves
/// or that was handed over to this host.
struct ResumeRequest {
  RequestId Request; ///< Identifies the new connection.
  std::string TeamKey;
  std::string ResumeToken;
  std::uint64_t NextIndex = 0;
};
/// A caller asks which entry hosts it should use.
struct ResolveRequest {
  ResolveRequestId Id;
  TeamId Team;        ///< May be empty.
  ZoneId Zone;        ///< The zone nearest to the caller; may be empty.
  std::string Name;   ///< The host name that the caller uses; may be empty.
  std::string Region; ///< The caller's region; may be empty.
};

// --- upstreams

/// The stream has reached NextIndex. Sent at the first chunk and at a coarse
/// interval after it.
struct AttemptProgressed {
  AttemptId Attempt;
  std::uint64_t NextIndex = 0;
};
struct AttemptEnded {
  AttemptId Attempt;
  AttemptOutcome Outcome;
};
/// The answer to a cancellation. When confirmed, the upstream no longer holds
/// resources for the attempt.
struct CancelAnswered {
  AttemptId Attempt;
  UpstreamId Upstream;
  bool Confirmed = false;
};
struct LoadReported {
  LoadReport Report;
};
struct LoadPollFailed {
  UpstreamId Upstream;
  bool Refused = false; ///< Connection refused, as opposed to a timeout.
};
struct CacheEventsReported {
  UpstreamId Upstream;
  Incarnation Life;
  std::vector<CacheEvent> Events;
};
enum class HoldResult { Granted, Refused, Unknown };
struct HoldAnswered {
  HoldId Hold;
  UpstreamId Upstream;
  HoldResult Result = HoldResult::Unknown;
};
enum class OrderResult { Accepted, RefusedFencing, Failed, Unknown };
struct OrderAnswered {
  OrderId Order;
  UpstreamId Upstream;
  OrderResult Result = OrderResult::Unknown;
  LogOffset HighestFencing = 0; ///< Set with RefusedFencing.
};

// --- the platform

struct HostListRead {
  std::vector<HostListing> Hosts;
  std::vector<UpstreamListing> Upstreams;
};
struct HostListReadFailed {};
/// Records from the requested offset up to NextOffset. StartOffset is the
/// oldest offset that the log retains. EndOffset is the next offset that the
/// log will assign.
struct LogRead {
  std::vector<StoredRecord> Records;
  LogOffset FromOffset = 0;
  LogOffset NextOffset = 0;
  LogOffset StartOffset = 0;
  LogOffset EndOffset = 0;
};
struct LogReadFailed {};
enum class AppendResult { Appended, Refused, Unknown };
struct AppendAnswered {
  AppendId Append;
  AppendResult Result = AppendResult::Unknown;
  LogOffset Offset = 0; ///< Set with Appended.
};

// --- entry hosts, operators, process

struct PeerMessageReceived {
  PeerMessage Message;
  /// When it was received, if it waited to be handled.
  std::optional<Time> ReceivedAt;
};
struct OperatorRequest {
  OperatorRequestId Id;
  std::string OperatorKey; ///< `owner.secret`; never logged.
  OperatorQuestion Question;
};
/// The process was asked to stop gracefully.
struct StopRequest {};
/// A timer event; sent when the time returned by nextWake() is reached.
struct Tick {};

using Event = std::variant<
    Tick, RequestArrived, CallerDisconnected, ResumeRequest, ResolveRequest,
    AttemptProgressed, AttemptEnded, CancelAnswered, LoadReported,
    LoadPollFailed, CacheEventsReported, HoldAnswered, OrderAnswered,
    HostListRead, HostListReadFailed, LogRead, LogReadFailed, AppendAnswered,
    PeerMessageReceived, OperatorRequest, StopRequest, GatewayEvent>;

} // namespace banyanpick
