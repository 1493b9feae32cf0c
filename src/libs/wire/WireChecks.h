/// \file
/// Checks that decoders apply to values from the wire.
#pragma once

#include "base/Error.h"
#include "base/Time.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

namespace banyanpick::wire {

/// Throws Error(BadInput) for a malformed message.
[[noreturn]] inline void throwMalformed(std::string_view Detail) {
  throw Error(ErrorKind::BadInput, "malformed message: " + std::string(Detail),
              "run the same release on all entry hosts");
}

/// Returns the enumerator with this number. Throws when it is larger than
/// \p Last, the last enumerator.
template <class Enum> Enum checkedEnum(std::uint32_t Number, Enum Last) {
  if (Number > static_cast<std::uint32_t>(Last))
    throwMalformed("unknown enumerator " + std::to_string(Number));
  return static_cast<Enum>(Number);
}

/// Returns the number. Throws when it is not finite.
inline double checkedNumber(double Number) {
  if (!std::isfinite(Number))
    throwMalformed("a number is not finite");
  return Number;
}

/// Returns an age or a wait in milliseconds, clamped to the range from zero to
/// one day so that time arithmetic can't overflow. Receivers treat all values
/// above one day alike. Throws when it is not finite.
inline double checkedMilliseconds(double Milliseconds) {
  constexpr double LongestMs = 86'400'000;
  return std::clamp(checkedNumber(Milliseconds), 0.0, LongestMs);
}

inline Time timeFromWire(std::int64_t Microseconds) {
  return Time(Duration(Microseconds));
}

inline std::int64_t toWire(Time Moment) {
  return Moment.time_since_epoch().count();
}

} // namespace banyanpick::wire
