/// \file
/// How the platform judges whether hosts keep to the limit that an upstream
/// names.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace banyanpick::process {

/// As standin_upstream names it under the fault `limit`, requests a second.
inline constexpr double StandinLimit = 1.6;

/// All hosts keep to a limit so long after it was first named,
inline constexpr seconds LimitObeyedWithin(3);

/// and what an upstream gets is counted in any such time.
inline constexpr seconds LimitWindow(4);

/// The most requests that may come within a window.
inline std::size_t allowedInLimitWindow() {
  constexpr double Factor = 1.5;
  constexpr double Allowance = 5;
  return static_cast<std::size_t>(
      Factor * StandinLimit * inSeconds(LimitWindow) + Allowance);
}

/// The most of the arrivals that lie within one window.
inline std::size_t
maxInLimitWindow(std::vector<std::chrono::steady_clock::time_point> Arrivals) {
  std::ranges::sort(Arrivals);
  std::size_t Max = 0;
  for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First) {
    const auto Last =
        std::upper_bound(First, Arrivals.end(), *First + LimitWindow);
    Max = std::max(Max, static_cast<std::size_t>(Last - First));
  }
  return Max;
}

} // namespace banyanpick::process
