/// \file
/// Everything that can happen to a kernel. The driver (daemon or test harness)
/// turns I/O into these and hands them in with the present time.
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
/// The caller hung up; nobody waits for the answer.
struct CallerDisconnected {
  RequestId Request;
};
/// A caller came back with a resume token for a stream of this host, or one
/// handed over to it.
struct ResumeRequest {
  RequestId Request; ///< The new connection's id.
  std::string TeamKey;
  std::string ResumeToken;
  std::uint64_t NextIndex = 0;
};
/// A caller asks which entry hosts to use.
struct ResolveRequest {
  ResolveRequestId Id;
  TeamId Team; ///< May be empty.
  ZoneId Zone; ///< Nearest to the caller; may be empty.
};

// --- upstreams

/// The stream stands at NextIndex; sent at the first chunk and coarsely after.
struct AttemptProgressed {
  AttemptId Attempt;
  std::uint64_t NextIndex = 0;
};
struct AttemptEnded {
  AttemptId Attempt;
  AttemptOutcome Outcome;
};
/// An answer to a cancel: the upstream holds nothing for the attempt now.
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
  bool Refused = false; ///< Nothing listens there, as against silence.
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
  LogOffset HighestFencing = 0; ///< With RefusedFencing.
};

// --- the platform

struct HostListRead {
  std::vector<HostListing> Hosts;
  std::vector<UpstreamListing> Upstreams;
};
struct HostListReadFailed {};
/// Records from the offset asked for up to NextOffset. StartOffset is the
/// oldest still kept and EndOffset the next to be given.
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
  LogOffset Offset = 0; ///< With Taken.
};

// --- entry hosts, operators, process

struct PeerMessageReceived {
  PeerMessage Message;
};
struct OperatorRequest {
  OperatorRequestId Id;
  std::string OperatorKey; ///< `owner.secret`; never logged.
  OperatorQuestion Question;
};
/// The process was told to stop gracefully.
struct StopRequest {};
/// Time has passed; sent when the kernel's nextWake() is reached.
struct Tick {};

using Event = std::variant<
    Tick, RequestArrived, CallerDisconnected, ResumeRequest, ResolveRequest,
    AttemptProgressed, AttemptEnded, CancelAnswered, LoadReported,
    LoadPollFailed, CacheEventsReported, HoldAnswered, OrderAnswered,
    HostListRead, HostListReadFailed, LogRead, LogReadFailed, AppendAnswered,
    PeerMessageReceived, OperatorRequest, StopRequest, GatewayEvent>;

} // namespace banyanpick
