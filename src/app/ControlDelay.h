/// \file
/// Measures how long events wait for the control thread.
#pragma once

#include "app/MemoryGauges.h"
#include "kernel/Action.h"

namespace banyanpick {

/// Records the queueing delay of each event. Once per second it reports the
/// longest delay and the longest queue as gauges, and writes a log line when
/// the delay exceeds a threshold.
class ControlDelay {
public:
  using MemoryReader = ProcessMemory (*)();
  explicit ControlDelay(MemoryReader ReadMemory) : ReadMemory(ReadMemory) {}

  /// The events that are still queued.
  struct Queue {
    std::size_t Events = 0;
    std::size_t Bytes = 0; ///< Size of the peer messages in them.
  };
  /// \p Waited is the queueing delay of the event.
  void record(Duration Waited, const Queue &Waiting, Time Now, Actions &Out);

private:
  void report(Time Now, Actions &Out);

  MemoryReader ReadMemory = nullptr; ///< Called only for a log line.
  Time IntervalStart{}; ///< When the current measuring interval began.
  Duration MaxDelay{};
  Queue MaxWaiting; ///< The maximum of each.
};

} // namespace banyanpick
