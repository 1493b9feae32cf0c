/// \file
/// Takes waiting requests to upstreams.
#pragma once

#include "plugins/requests/RequestFinisher.h"

namespace banyanpick {

class Dispatcher {
public:
  Dispatcher(RequestServices &Dependencies, RunningRequests &Table,
             RequestFinisher &Finisher)
      : Dependencies(Dependencies), Table(Table), Finisher(Finisher) {}

  /// Puts the request in the queue; it is tried by the next sweep.
  void enqueue(RunningRequest &Entry, Time Now);

  /// Tries waiting requests, those most entitled first, and ends those that
  /// can't keep their promise any more.
  void sweep(Time Now, Actions &Out);

  /// The group of engines for a request was decided; \p Holds is empty when
  /// it could not be had.
  void groupDecided(const RequestId &Id, std::span<const HoldId> Holds,
                    Time Now, Actions &Out);

  /// Attaches to the running attempt of a stream that a peer handed over.
  void attach(RunningRequest &Entry, const StreamHandover &Stream, Time Now,
              Actions &Out);

  /// When the next sweep is due at the latest.
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
