/// \file
/// Measures how long events wait for the control thread.
#pragma once

#include "kernel/Action.h"

namespace banyanpick {

/// Records the queueing delay of each event. Once per second it reports the
/// longest delay and the longest queue as gauges, and writes a log line when
/// the delay exceeds a threshold.
class ControlDelay {
public:
  /// \p Waited is the queueing delay of the event. \p Waiting is the number of
  /// events that are still queued.
  void record(Duration Waited, std::size_t Waiting, Time Now, Actions &Out);

private:
  void report(Time Now, Actions &Out);

  Time IntervalStart{}; ///< When the current measuring interval began.
  Duration MaxDelay{};
  std::size_t MaxWaiting = 0; ///< Longest queue, in events.
};

} // namespace banyanpick
