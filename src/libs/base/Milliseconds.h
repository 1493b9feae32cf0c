/// \file
/// Durations as floating numbers of milliseconds, in which engines' work is
/// declared and weighed.
#pragma once

#include "base/Time.h"

namespace banyanpick {

constexpr double inMilliseconds(Duration Value) {
  return static_cast<double>(Value.count()) / 1e3;
}

constexpr Duration fromMilliseconds(double Value) {
  return Duration(static_cast<Duration::rep>(Value * 1e3));
}

} // namespace banyanpick
