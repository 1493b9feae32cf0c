/// \file
/// Handles the end of an attempt: answers, retries or gives up the request.
#pragma once

#include "plugins/requests/Dispatcher.h"

namespace banyanpick {

/// Handles progress and ends of attempts.
class AttemptEndHandler {
public:
  AttemptEndHandler(RequestServices &Dependencies, RunningRequests &Table,
                    RequestFinisher &Finisher, Dispatcher &RequestDispatcher)
      : Dependencies(Dependencies), Table(Table), Finisher(Finisher),
        RequestDispatcher(RequestDispatcher) {}

  /// Reports of attempts that do not run (late, cancelled or of another
  /// incarnation) are counted and ignored.
  void progressed(const AttemptProgressed &Progress, Time Now, Actions &Out);
  void ended(const AttemptEnded &End, Time Now, Actions &Out);
  /// Ends every attempt on that incarnation of the upstream. The upstream may
  /// only be silent, so attempts that may still run there are cancelled.
  void upstreamDied(const UpstreamId &Id, Incarnation Life, Time Now,
                    Actions &Out);

private:
  void cancelIfRunning(const Attempt &Ended, const AttemptOutcome &Outcome,
                       Time Deadline, Time Now, Actions &Out);
  void complete(RunningRequest &Entry, const AttemptComplete &End, Time Now,
                Actions &Out);
  void notStarted(RunningRequest &Entry, bool IsFirstAttempt, Time Now,
                  Actions &Out);
  void broken(RunningRequest &Entry, Time Now, Actions &Out);
  void failed(RunningRequest &Entry, const AttemptFailed &End, Time Now,
              Actions &Out);
  void retryOrGiveUp(RunningRequest &Entry, std::string_view Reason, Time Now,
                     Actions &Out);

  RequestServices &Dependencies;
  RunningRequests &Table;
  RequestFinisher &Finisher;
  Dispatcher &RequestDispatcher;
};

} // namespace banyanpick
