/// \file
/// One try on the traffic thread: the request to an upstream and the reading
/// of its answer.
#pragma once

#include "relay/CallerSide.h"
#include "relay/EngineLinkPool.h"
#include "relay/EventSplitter.h"
#include "relay/GatewayProtocol.h"

#include <functional>

namespace banyanpick {

/// Bounds of one try.
struct EngineRunLimits {
  Duration ConnectTimeout{};
  std::size_t WholeAnswerBytes = 0; ///< Larger plain answers are failures.
  std::size_t EventBytes = 0;       ///< A larger event is a failure.
};

/// Told what happens in a run, on its thread.
struct EngineRunListener {
  /// The header of the upstream's answer came.
  std::function<void(const AnswerSignals &)> OnSignals;
  /// The first event went to the caller.
  std::function<void()> OnFirstEvent;
  /// Whether the upstream may still get the request, now that a connection
  /// stands.
  std::function<bool()> MaySend;
};

/// Runs once. Used on the thread of its executor.
class EngineRun : public std::enable_shared_from_this<EngineRun> {
public:
  EngineRun(const net::any_io_executor &Executor, DispatchRelay Order,
            std::shared_ptr<CallerSide> Caller, EngineLinkPool &Pool,
            const EngineProtocol &Protocol, const EngineRunLimits &Limits);

  /// Gives how it ended. \p Left is how long the upstream may take.
  Task<RelayOutcome> run(Duration Remaining, EngineRunListener Listener);

  /// Closes the connection; run() ends.
  void cancel();
  bool isCancelled() const { return this->Cancelled; }
  /// Headers of the answer that the protocol does not know.
  const std::vector<std::string> &unknownHeaders() const {
    return this->UnknownNames;
  }

private:
  using Parser = http::response_parser<http::buffer_body>;

  Task<bool> connect();
  /// False: the connection failed; the answer may be there all the same.
  Task<bool> sendRequest(Duration Remaining);
  Task<ErrorCode> readHead(Parser &HeadParser);
  /// Reads body bytes; a view of what came.
  Task<std::string_view> readBodyPart(Parser &AnswerParser);
  Task<RelayOutcome> exchange(Duration Remaining,
                              const EngineRunListener &Listener);
  Task<RelayOutcome> relayWhole(Parser &AnswerParser, bool IsFailure);
  Task<RelayOutcome> relayEvents(Parser &AnswerParser,
                                 const EngineRunListener &Listener);
  RelayOutcome broken(RelayBroken::Why Reason) const;
  RelayOutcome brokenBy(const ErrorCode &Failure) const;
  void keepLink(const Parser &AnswerParser);
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
  bool Sent = false; ///< The whole request was written.
  bool AnyByteSent = false;
  bool Cancelled = false;
  bool TimedOut = false;
  bool HasBegun = false;
};

} // namespace banyanpick
