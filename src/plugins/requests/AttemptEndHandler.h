/// \file
/// What follows from the end of a try: the answer, another try, or giving up.
#pragma once

#include "plugins/requests/Dispatcher.h"

namespace banyanpick {

class AttemptEndHandler {
public:
  AttemptEndHandler(RequestServices &Dependencies, RunningRequests &Table,
                    RequestFinisher &Finisher, Dispatcher &RequestDispatcher)
      : Dependencies(Dependencies), Table(Table), Finisher(Finisher),
        RequestDispatcher(RequestDispatcher) {}

  /// Tries that are not live (late, cancelled, another life's) are counted
  /// and ignored.
  void progressed(const AttemptProgressed &Progress, Time Now, Actions &Out);
  void ended(const AttemptEnded &End, Time Now, Actions &Out);
  /// Every try on that life of the upstream is over. It may only be silent, so
  /// what it may still run is cancelled.
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
  void retryOrGiveUp(RunningRequest &Entry, std::string_view Why, Time Now,
                     Actions &Out);

  RequestServices &Dependencies;
  RunningRequests &Table;
  RequestFinisher &Finisher;
  Dispatcher &RequestDispatcher;
};

} // namespace banyanpick
