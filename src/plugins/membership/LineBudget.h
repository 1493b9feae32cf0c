/// \file
/// How many log lines of one kind are written.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace banyanpick {

/// So many lines in a second and no more: hundreds of hosts that start, or lose
/// each other, change state by the thousand.
class LineBudget {
public:
  /// Whether one more may be written.
  bool take(Time Now) {
    if (Now >= this->Since + Duration(seconds(1))) {
      this->Since = Now;
      this->Taken = 0;
    }
    return this->Taken++ < MostEachSecond;
  }

private:
  static constexpr std::uint32_t MostEachSecond = 100;

  Time Since{};
  std::uint32_t Taken = 0;
};

} // namespace banyanpick
