#include "app/TrafficLoop.h"

#include "base/EventNumbers.h"
#include "logging/LineLog.h"

namespace banyanpick {

void runTrafficLoop(net::io_context &Io, const ProcessClock &Clock) {
  while (!Io.stopped()) {
    try {
      Io.run();
    } catch (const std::exception &Failure) {
      logTrafficException(Failure.what(), Clock.now());
    }
  }
}

void logTrafficException(std::string_view What, Time Now) {
  const std::string Invariant = "traffic handlers do not throw: ";
  writeLogLine(logEvent(events::InvariantBroken)
                   .with("invariant", Invariant + std::string(What))
                   .build(),
               Now);
}

} // namespace banyanpick
