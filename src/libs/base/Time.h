/// \file
/// The time types of the decision code. Time is always passed as an argument
/// and never read from a clock. The daemon maps its monotonic clock to this
/// scale.
#pragma once

#include <chrono>
#include <cstdint>

namespace banyanpick {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// The clock type of Time: microseconds since the Unix epoch.
struct WallScale {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<WallScale>;
  static constexpr bool is_steady = true;
};

/// A point in time in microseconds since the Unix epoch.
using Time = std::chrono::time_point<WallScale, Duration>;

/// The latest representable time; means "never".
inline constexpr Time Never = Time::max();

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts a duration to floating-point seconds.
constexpr double inSeconds(Duration Value) {
  return static_cast<double>(Value.count()) / 1e6;
}

/// Converts floating-point seconds to a duration.
constexpr Duration fromSeconds(double Value) {
  return Duration(static_cast<Duration::rep>(Value * 1e6));
}

} // namespace banyanpick
