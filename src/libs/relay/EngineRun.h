/// \file
/// Runs one attempt of a relayed request: sends the request to an upstream and
/// reads the answer.
#pragma once

#include "relay/CallerSide.h"
#include "relay/EngineLinkPool.h"
#include "relay/EventSplitter.h"
#include "relay/GatewayProtocol.h"

#include <functional>

namespace banyanpick {

/// Limits of one attempt.
struct EngineRunLimits {
  Duration ConnectTimeout{};
  /// The attempt fails when an answer that is not streamed is larger.
  std::size_t WholeAnswerBytes = 0;
  std::size_t EventBytes = 0; ///< The attempt fails when an event is larger.
};

/// Callbacks of a run, called on its thread.
struct EngineRunListener {
  /// Called when the header of the upstream's answer was received.
  std::function<void(const AnswerSignals &)> OnSignals;
  /// Called when the first events were sent to the caller.
  std::function<void()> OnFirstEvent;
  /// Returns whether the request may still be sent to the upstream. Called when
  /// the connection is established.
  std::function<bool()> MaySend;
};

/// Sends the request of a caller to one upstream and forwards the answer. An
/// object runs one attempt. Used on the thread of its executor.
class EngineRun : public std::enable_shared_from_this<EngineRun> {
public:
  EngineRun(const net::any_io_executor &Executor, DispatchRelay Order,
            std::shared_ptr<CallerSide> Caller, EngineLinkPool &Pool,
            const EngineProtocol &Protocol, const EngineRunLimits &Limits);

  /// Runs the attempt and returns its outcome. \p Remaining is the time that
  /// the upstream has for the answer.
  Task<RelayOutcome> run(Duration Remaining, EngineRunListener Listener);

  /// Closes the connection, which ends run().
  void cancel();
  bool isCancelled() const { return this->Cancelled; }
  /// Returns the headers of the answer that the protocol does not know.
  const std::vector<std::string> &unknownHeaders() const {
    return this->UnknownNames;
  }

private:
  using Reader = AnswerReader<http::buffer_body>;
  using Parser = Reader::Parser;

  /// Returns why there is no connection, or nothing if there is one.
  Task<std::optional<RelayNeverSent::Why>> connect();
  /// Returns false if the connection failed. An answer may have arrived
  /// nevertheless.
  Task<bool> sendRequest(Duration Remaining);
  /// Reads part of the body and returns a view of the bytes. Sets ReadFailure,
  /// to a reset if the answer ended too early.
  Task<std::string_view> readBodyPart(Parser &AnswerParser);
  Task<RelayOutcome> exchange(Duration Remaining,
                              const EngineRunListener &Listener);
  Task<RelayOutcome> relayWhole(Parser &AnswerParser, bool IsFailure);
  Task<RelayOutcome> relayEvents(Parser &AnswerParser,
                                 const EngineRunListener &Listener);
  /// Whether the answer ended with its connection before the request was
  /// written. Nothing tells then that the answer is complete: a write that runs
  /// beside the read may take the error of a reset, and the read sees an
  /// ordinary end.
  bool endedTooEarly(const Parser &AnswerParser) const {
    return AnswerParser.need_eof() && !this->Sent;
  }
  RelayOutcome broken(RelayBroken::Why Reason) const;
  RelayOutcome brokenBy(const ErrorCode &Failure) const;
  void keepLink(const Parser &AnswerParser);
  /// Reads the next part of the stream. Sets ReadFailure; the read fails as
  /// silent if no event arrives for the time limit of the order.
  Task<SplitEvents> readEvents(Parser &AnswerParser);
  /// Sends bytes of the stream to the caller, and the header before the first
  /// ones. Returns false if the caller has disconnected.
  Task<bool> forward(const http::response_header<> &Head,
                     const SplitEvents &Part,
                     const EngineRunListener &Listener);
  /// Whether the stream violates the protocol or the limits.
  bool isStreamCorrupt() const;
  void recordEventGap();
  void armTimeout(Duration Limit);

  static constexpr std::size_t ReadBytes = 8192;

  net::any_io_executor Executor;
  DispatchRelay Order;
  std::shared_ptr<CallerSide> Caller;
  EngineLinkPool &Pool;
  const EngineProtocol &Protocol;
  const EngineRunLimits &Limits;
  std::shared_ptr<EngineLink> Link;
  net::steady_timer TimeoutTimer;
  EventSplitter Splitter;
  std::array<char, ReadBytes> ReadBuffer{};
  ErrorCode ReadFailure;
  std::vector<std::string> UnknownNames;
  std::chrono::steady_clock::time_point LastEventsAt{};
  Duration MaxEventGap{};
  Duration Silence{}; ///< Time spent reading since the last event.
  bool Sent = false;  ///< The complete request was written.
  bool AnyByteSent = false;
  bool Cancelled = false;
  bool TimedOut = false;
  bool HasBegun = false;
};

} // namespace banyanpick
