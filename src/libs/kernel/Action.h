/// \file
/// Everything a kernel can ask of its driver. The driver carries the actions
/// out in order and reports back by events.
#pragma once

#include "base/LogEvent.h"
#include "kernel/Event.h"

#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

// --- callers

/// The request is admitted; a streaming caller may be sent its resume token.
struct AcceptRequest {
  RequestId Request;
  std::string ResumeToken;

  bool operator==(const AcceptRequest &) const = default;
};
/// The final answer; sent at once, and exactly once a request.
struct AnswerRequest {
  RequestId Request;
  FinalAnswer Answer;

  bool operator==(const AnswerRequest &) const = default;
};
/// Tells a streaming caller to reconnect elsewhere with its resume token.
struct RedirectCaller {
  RequestId Request;
  Address To;
  std::string ResumeToken;

  bool operator==(const RedirectCaller &) const = default;
};
/// Joins a returned caller's connection to the stream of an older request.
struct JoinStream {
  RequestId Request; ///< The new connection.
  RequestId Stream;  ///< The request whose stream it gets.
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

/// Send the request to the upstream; chunks before NextIndex were delivered.
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
  std::vector<HoldId> Holds; ///< Group holds it uses.
  /// Attach to this attempt's running stream instead of starting anew.
  std::optional<AttemptId> AttachTo;

  bool operator==(const DispatchAttempt &) const = default;
};
/// Drop the attempt and tell the upstream to free what it holds for it.
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
/// Whether the engine takes long prompts.
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
  Time ValidUntil{}; ///< The driver does not send it later than this.
  OrderBody Body;

  bool operator==(const OrderUpstream &) const = default;
};

// --- the platform

struct ReadHostList {
  bool operator==(const ReadHostList &) const = default;
};
/// Read records from this offset on; answered by LogRead or LogReadFailed.
struct ReadLog {
  LogOffset FromOffset = 0;

  bool operator==(const ReadLog &) const = default;
};
/// Append the records as one append; answered by AppendAnswered.
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
/// The peers that exist and where they listen; sent when it changes.
struct ConnectPeers {
  std::vector<HostListing> Peers;

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
/// One measured value: counted, or put into a histogram, under the name.
struct RecordMeasurement {
  enum class Kind { Count, Histogram, Gauge } As = Kind::Count;
  std::string_view Name; ///< Points to a string literal.
  std::string Label;     ///< One label value; may be empty.
  double Value = 1;

  bool operator==(const RecordMeasurement &) const = default;
};
/// Everything is finished; the process may end.
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

/// The actions of one event, in the order they are to be carried out.
class Actions {
public:
  void add(Action Wanted) { this->Items.push_back(std::move(Wanted)); }
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
