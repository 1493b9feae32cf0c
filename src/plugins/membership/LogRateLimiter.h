/// \file
/// How many log lines of one kind are written.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace banyanpick {

/// So many lines in a second and no more: hundreds of hosts that start, or lose
/// each other, change state by the thousand.
class LogRateLimiter {
public:
  /// Whether one more may be written.
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
