/// \file
/// Takes in requests, callers that come back, and streams of peers.
#pragma once

#include "plugins/requests/Dispatcher.h"

namespace banyanpick {

class RequestIntake {
public:
  RequestIntake(RequestServices &Dependencies, RunningRequests &Table,
                RequestFinisher &Finisher, Dispatcher &RequestDispatcher);

  /// Admits the request or answers it with a refusal at once.
  void arrived(const RequestArrived &Arrival, Time Now, Actions &Out);
  /// A stream waits for its caller for a while; everything else is given up,
  /// but for a non-idempotent call that may have started.
  void callerGone(const CallerDisconnected &Gone, Time Now, Actions &Out);
  void resumeAsked(const ResumeRequest &Original, Time Now, Actions &Out);
  /// Serves a peer's stream from its running attempt.
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
