/// \file
/// The daemon's clock: monotonic, mapped once onto the wall clock.
#pragma once

#include "base/Time.h"

#include <ctime>

namespace banyanpick {

/// Never runs backwards, whatever is done to the wall clock meanwhile, and
/// counts the time for which the machine was suspended: limits of requests and
/// the age of what is known go on then. Safe from any thread.
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
