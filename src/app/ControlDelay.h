/// \file
/// How late the control thread takes in what happens.
#pragma once

#include "kernel/Action.h"

namespace banyanpick {

/// Looks at each event's way to the control thread; once a second it tells the
/// longest wait, as a gauge, and in a log line where decisions came late.
class ControlDelay {
public:
  /// \p Waited: how long the event was on its way. \p Waiting: events that are
  /// there still.
  void record(Duration Waited, std::size_t Waiting, Time Now, Actions &Out);

private:
  void report(Time Now, Actions &Out);

  Time IntervalStart{}; ///< What follows was seen since then.
  Duration MaxDelay{};
  std::size_t MaxWaiting = 0; ///< Events waiting at once.
};

} // namespace banyanpick
