/// \file
/// The actions that a kernel requests from its driver. The driver executes the
/// actions in order and reports results as events.
#pragma once

#include "base/LogEvent.h"
#include "kernel/Event.h"

#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

// --- callers

/// Accepts the request. A streaming caller may receive its resume token.
struct AcceptRequest {
  RequestId Request;
  std::string ResumeToken;

  bool operator==(const AcceptRequest &) const = default;
};
/// Sends the final answer immediately. Occurs exactly once for each request.
struct AnswerRequest {
  RequestId Request;
  FinalAnswer Answer;

  bool operator==(const AnswerRequest &) const = default;
};
/// Redirects a streaming caller to another host with its resume token.
struct RedirectCaller {
  RequestId Request;
  Address To;
  std::string ResumeToken;

  bool operator==(const RedirectCaller &) const = default;
};
/// Attaches the connection of a reconnected caller to the stream of an earlier
/// request.
struct JoinStream {
  RequestId Request; ///< The new connection.
  RequestId Stream;  ///< The request whose stream the connection receives.
  std::uint64_t NextIndex = 0;

  bool operator==(const JoinStream &) const = default;
};
struct AnswerResolve {
  ResolveRequestId Id;
  std::vector<Address> Hosts; ///< Best first.
  Duration TimeToLive{};

  bool operator==(const AnswerResolve &) const = default;
};

// --- upstreams

/// Sends the request to the upstream. Chunks before NextIndex were delivered.
struct DispatchAttempt {
  AttemptId Attempt;
  RequestId Request;
  UpstreamId Upstream;
  Address At;
  UpstreamKind Kind = UpstreamKind::Engine;
  std::string TargetName; ///< Model or service name.
  std::uint32_t Priority = 0;
  std::uint64_t MaxOutputTokens = 0;
  std::uint64_t NextIndex = 0;
  Time Deadline{};
  std::vector<HoldId> Holds; ///< Group holds that the attempt uses.
  /// Attaches to the running stream of this attempt instead of starting a new
  /// one.
  std::optional<AttemptId> AttachTo;

  bool operator==(const DispatchAttempt &) const = default;
};
/// Drops the attempt and asks the upstream to free the resources that it holds
/// for the attempt.
struct CancelAttempt {
  AttemptId Attempt;
  UpstreamId Upstream;
  Address At;

  bool operator==(const CancelAttempt &) const = default;
};
struct PollLoad {
  UpstreamId Upstream;
  Address At;

  bool operator==(const PollLoad &) const = default;
};
struct PollCacheEvents {
  UpstreamId Upstream;
  Address At;
  std::uint64_t AfterSequence = 0;

  bool operator==(const PollCacheEvents &) const = default;
};
struct TakeHold {
  HoldId Hold;
  UpstreamId Upstream;
  Address At;
  std::uint64_t Tokens = 0;
  Time Deadline{};

  bool operator==(const TakeHold &) const = default;
};
struct ReleaseHold {
  HoldId Hold;
  UpstreamId Upstream;
  Address At;

  bool operator==(const ReleaseHold &) const = default;
};

struct LoadModel {
  ModelId Model;
  std::string Weights;

  bool operator==(const LoadModel &) const = default;
};
struct UnloadModel {
  ModelId Model;

  bool operator==(const UnloadModel &) const = default;
};
/// Sets whether the engine accepts long prompts.
struct ChangeRole {
  bool TakesLong = false;

  bool operator==(const ChangeRole &) const = default;
};
using OrderBody = std::variant<LoadModel, UnloadModel, ChangeRole>;

struct OrderUpstream {
  OrderId Order;
  UpstreamId Upstream;
  Address At;
  LogOffset Fencing = 0;
  Time ValidUntil{}; ///< The driver does not send the order after this time.
  OrderBody Body;

  bool operator==(const OrderUpstream &) const = default;
};

// --- the platform

struct ReadHostList {
  bool operator==(const ReadHostList &) const = default;
};
/// Reads records starting at the offset; answered by LogRead or LogReadFailed.
struct ReadLog {
  LogOffset FromOffset = 0;

  bool operator==(const ReadLog &) const = default;
};
/// Appends the records in one operation; answered by AppendAnswered.
struct AppendToLog {
  AppendId Append;
  std::vector<LogRecord> Records;

  bool operator==(const AppendToLog &) const = default;
};

// --- entry hosts, operators, process

struct SendToPeer {
  HostId To;
  PeerMessageBody Body;

  bool operator==(const SendToPeer &) const = default;
};
/// Sets the peers and their addresses. Sent when either changes.
struct ConnectPeers {
  std::vector<HostListing> Peers;
  /// The peers are new or have a new address, and all others stay. Hundreds of
  /// hosts that start together are learned one by one, so that the complete
  /// list each time would cost the square of their number.
  bool IsUpdate = false;

  bool operator==(const ConnectPeers &) const = default;
};
struct AnswerOperator {
  OperatorRequestId Id;
  OperatorAnswer Answer;
};
struct WriteLogLine {
  LogEvent Line;

  bool operator==(const WriteLogLine &) const = default;
};
/// Records one measured value as a counter, histogram or gauge.
struct RecordMeasurement {
  enum class Kind { Count, Histogram, Gauge } As = Kind::Count;
  std::string_view Name; ///< Points to a string literal.
  std::string Label;     ///< One label value; may be empty.
  double Value = 1;

  bool operator==(const RecordMeasurement &) const = default;
};
/// All work is finished and the process may exit.
struct StopNow {
  bool operator==(const StopNow &) const = default;
};

using Action =
    std::variant<AcceptRequest, AnswerRequest, RedirectCaller, JoinStream,
                 AnswerResolve, DispatchAttempt, CancelAttempt, PollLoad,
                 PollCacheEvents, TakeHold, ReleaseHold, OrderUpstream,
                 ReadHostList, ReadLog, AppendToLog, SendToPeer, ConnectPeers,
                 AnswerOperator, WriteLogLine, RecordMeasurement, StopNow,
                 GatewayAction>;

/// The actions that result from one event, in execution order.
class Actions {
public:
  void add(Action Next) { this->Items.push_back(std::move(Next)); }
  void log(LogEvent Line) { this->add(WriteLogLine{std::move(Line)}); }

  /// Counts one occurrence under \p Name, a string literal.
  void count(std::string_view Name, std::string_view Label = {}) {
    this->add(RecordMeasurement{RecordMeasurement::Kind::Count, Name,
                                std::string(Label), 1});
  }

  const std::vector<Action> &items() const { return this->Items; }
  std::vector<Action> take() { return std::move(this->Items); }

private:
  std::vector<Action> Items;
};

} // namespace banyanpick
