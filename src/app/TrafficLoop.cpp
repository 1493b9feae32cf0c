#include "app/TrafficLoop.h"

#include "base/EventNumbers.h"
#include "logging/LineLog.h"

namespace banyanpick {

void runTrafficLoop(net::io_context &Io, const ProcessClock &Clock) {
  while (!Io.stopped()) {
    try {
      Io.run();
    } catch (const std::exception &Failure) {
      const std::string Why = "traffic handlers do not throw: ";
      writeLogLine(logEvent(events::InvariantBroken)
                       .with("invariant", Why + Failure.what())
                       .build(),
                   Clock.now());
    }
  }
}

} // namespace banyanpick
