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

/// The longest duration that is made of a floating-point number. It can still
/// be added to any time, some 70,000 years.
inline constexpr Duration MaxConverted(Duration::rep(1) << 61);

/// Converts floating-point microseconds to a duration. A number beyond
/// MaxConverted, of either sign, becomes that; no number becomes zero.
constexpr Duration fromMicroseconds(double Value) {
  constexpr auto Limit = static_cast<double>(MaxConverted.count());
  if (Value != Value)
    return Duration(0);
  if (Value >= Limit)
    return MaxConverted;
  if (Value <= -Limit)
    return -MaxConverted;
  return Duration(static_cast<Duration::rep>(Value));
}

/// Converts floating-point seconds to a duration, see fromMicroseconds().
constexpr Duration fromSeconds(double Value) {
  return fromMicroseconds(Value * 1e6);
}

} // namespace banyanpick
