/// \file
/// Time as the decision code sees it: always an argument, never read from a
/// clock. The daemon maps its monotonic clock onto this scale.
#pragma once

#include <chrono>
#include <cstdint>

namespace banyanpick {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// The scale of Time: microseconds since the Unix epoch.
struct WallScale {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<WallScale>;
  static constexpr bool is_steady = true;
};

/// A moment on the microsecond scale since the Unix epoch.
using Time = std::chrono::time_point<WallScale, Duration>;

/// A moment later than every other one; stands for "never".
inline constexpr Time Never = Time::max();

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The duration as a floating number of seconds.
constexpr double inSeconds(Duration Value) {
  return static_cast<double>(Value.count()) / 1e6;
}

/// A duration from a floating number of seconds.
constexpr Duration fromSeconds(double Value) {
  return Duration(static_cast<Duration::rep>(Value * 1e6));
}

} // namespace banyanpick
