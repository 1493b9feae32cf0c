/// \file
/// Accepts new requests, resumed streams and streams handed over by peers.
#pragma once

#include "plugins/requests/Dispatcher.h"

namespace banyanpick {

/// Admits or refuses what callers and peers send.
class RequestIntake {
public:
  RequestIntake(RequestServices &Dependencies, RunningRequests &Table,
                RequestFinisher &Finisher, Dispatcher &RequestDispatcher);

  /// Admits the request, or answers it with a refusal at once.
  void arrived(const RequestArrived &Arrival, Time Now, Actions &Out);
  /// Called when the caller disconnects. A stream waits for its caller for the
  /// resume window. Other requests are given up, except non-idempotent ones
  /// that may have started.
  void callerGone(const CallerDisconnected &Gone, Time Now, Actions &Out);
  void resumeAsked(const ResumeRequest &Resume, Time Now, Actions &Out);
  /// Takes over a peer's stream by attaching to its running attempt.
  void adopt(const StreamHandover &Stream, Time Now, Actions &Out);

private:
  std::optional<NotRun> refusalOf(const Request &Original, Time Now);
  void admit(Request Original, Time Now, Actions &Out);
  std::string makeResumeToken();

  RequestServices &Dependencies;
  RunningRequests &Table;
  RequestFinisher &Finisher;
  Dispatcher &RequestDispatcher;
  std::string TokenSecret;
  std::uint64_t ResumeTokenCount = 0;
  std::uint64_t AdoptionCount = 0;
};

} // namespace banyanpick
