/// \file
/// Conversion of durations to and from floating-point milliseconds, the unit in
/// which the work of engines is declared and compared.
#pragma once

#include "base/Time.h"

namespace banyanpick {

constexpr double inMilliseconds(Duration Value) {
  return static_cast<double>(Value.count()) / 1e3;
}

constexpr Duration fromMilliseconds(double Value) {
  return fromMicroseconds(Value * 1e3);
}

} // namespace banyanpick
