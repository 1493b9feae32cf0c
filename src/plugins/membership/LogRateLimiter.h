/// \file
/// Limits the rate of log lines of one kind.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace banyanpick {

/// Allows a fixed number of log lines per second. Hundreds of hosts that start
/// together, or lose contact with each other, cause thousands of state changes.
class LogRateLimiter {
public:
  /// Counts one line at \p Now and returns whether it may be written.
  bool tryAcquire(Time Now) {
    if (Now >= this->WindowStart + Duration(seconds(1))) {
      this->WindowStart = Now;
      this->Count = 0;
    }
    return this->Count++ < MaxLinesPerSecond;
  }

private:
  static constexpr std::uint32_t MaxLinesPerSecond = 100;

  Time WindowStart{};
  std::uint32_t Count = 0;
};

} // namespace banyanpick
