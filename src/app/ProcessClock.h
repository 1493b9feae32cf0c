/// \file
/// The daemon's clock: monotonic, aligned with the wall clock at start.
#pragma once

#include "base/Time.h"

#include <ctime>

namespace banyanpick {

/// Returns monotonic time that does not follow later changes of the wall clock.
/// Includes the time for which the machine was suspended, because deadlines of
/// requests and the age of information advance meanwhile. Thread-safe.
class ProcessClock {
public:
  ProcessClock()
      : WallAtStart(readClock(CLOCK_REALTIME)),
        BootAtStart(readClock(CLOCK_BOOTTIME)) {}

  Time now() const {
    return Time(this->WallAtStart + readClock(CLOCK_BOOTTIME) -
                this->BootAtStart);
  }

private:
  static Duration readClock(clockid_t Which) {
    timespec Read{};
    clock_gettime(Which, &Read);
    return std::chrono::duration_cast<Duration>(
        seconds(Read.tv_sec) + std::chrono::nanoseconds(Read.tv_nsec));
  }

  const Duration WallAtStart;
  const Duration BootAtStart;
};

} // namespace banyanpick
