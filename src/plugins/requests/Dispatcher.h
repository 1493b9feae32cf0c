/// \file
/// Dispatches waiting requests to upstreams.
#pragma once

#include "plugins/requests/RequestFinisher.h"

namespace banyanpick {

/// Selects upstreams for waiting requests and starts their attempts.
class Dispatcher {
public:
  Dispatcher(RequestServices &Dependencies, RunningRequests &Table,
             RequestFinisher &Finisher)
      : Dependencies(Dependencies), Table(Table), Finisher(Finisher) {}

  /// Adds the request to the queue. The next sweep attempts to dispatch it.
  void enqueue(RunningRequest &Entry, Time Now);

  /// Tries to dispatch waiting requests in the order of the queue, and ends
  /// those that can no longer meet their promise.
  void sweep(Time Now, Actions &Out);

  /// Called when the group of engines for a request is decided. \p Holds is
  /// empty when the group is not available.
  void groupDecided(const RequestId &Id, std::span<const HoldId> Holds,
                    Time Now, Actions &Out);

  /// Attaches to the running attempt of a stream that a peer handed over.
  void attach(RunningRequest &Entry, const StreamHandover &Stream, Time Now,
              Actions &Out);

  /// Returns the latest time of the next sweep.
  Time nextSweep() const;

private:
  void dispatchWaiting(RunningRequest &Entry, Time Now, Actions &Out);
  void dispatchSelected(RunningRequest &Entry, const Selected &Choice, Time Now,
                        Actions &Out);
  void handleNothingFits(RunningRequest &Entry, const NothingFits &Reason,
                         Time Now, Actions &Out);
  void dispatch(RunningRequest &Entry, const Selected &Choice,
                std::span<const HoldId> Holds, Time Now, Actions &Out);
  void start(RunningRequest &Entry, Attempt NewAttempt, DispatchAttempt Order,
             Time Now, Actions &Out);

  RequestServices &Dependencies;
  RunningRequests &Table;
  RequestFinisher &Finisher;
  std::uint64_t AttemptsStarted = 0;
  Time SweptAt{};
};

} // namespace banyanpick
