/// \file
/// The rule by which the platform judges whether hosts stay within the limit
/// that an upstream names.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace banyanpick::process {

/// Requests per second that standin_upstream names with the fault `limit`.
inline constexpr double StandinLimit = 1.6;

/// All hosts must obey a limit within this time after it was first named.
inline constexpr seconds LimitObeyedWithin(3);

/// Length of the sliding window in which requests to an upstream are counted.
inline constexpr seconds LimitWindow(4);

/// Returns the number of requests that are allowed within one window.
inline std::size_t allowedInLimitWindow() {
  constexpr double Factor = 1.5;
  constexpr double Allowance = 5;
  return static_cast<std::size_t>(
      Factor * StandinLimit * inSeconds(LimitWindow) + Allowance);
}

/// Returns the largest number of arrivals within one window.
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
