#include "app/GracefulShutdown.h"

#include "base/EventNumbers.h"
#include "logging/LineLog.h"

#include <thread>

namespace banyanpick {

namespace {

/// How often a stopping host checks whether all answers are written.
constexpr milliseconds FlushPollInterval(10);

} // namespace

void GracefulShutdown::allow() {
  std::call_once(this->Once, [this] { this->Allowed.set_value(); });
}

void GracefulShutdown::wait(const ProcessClock &Clock, Duration FlushFor,
                            const std::function<std::size_t()> &Unsent) {
  this->Allowed.get_future().wait();
  const Time Until = Clock.now() + FlushFor;
  while (Clock.now() < Until && Unsent() > 0)
    std::this_thread::sleep_for(FlushPollInterval);
  writeLogLine(logEvent(events::Stopped).build(), Clock.now());
}

} // namespace banyanpick
