/// \file
/// The daemon's clock: monotonic, mapped once onto the wall clock.
#pragma once

#include "base/Time.h"

#include <chrono>

namespace banyanpick {

/// Never runs backwards, whatever is done to the wall clock meanwhile. Safe
/// from any thread.
class ProcessClock {
public:
  ProcessClock()
      : WallAtStart(std::chrono::duration_cast<Duration>(
            std::chrono::system_clock::now().time_since_epoch())),
        SteadyAtStart(std::chrono::steady_clock::now()) {}

  Time now() const {
    const auto Passed = std::chrono::steady_clock::now() - this->SteadyAtStart;
    return Time(this->WallAtStart +
                std::chrono::duration_cast<Duration>(Passed));
  }

private:
  const Duration WallAtStart;
  const std::chrono::steady_clock::time_point SteadyAtStart;
};

} // namespace banyanpick
