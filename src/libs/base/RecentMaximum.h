/// \file
/// The maximum of recent durations.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <optional>

namespace banyanpick {

/// The longest duration of the last one to two windows. Without new durations
/// it keeps its value.
class RecentMaximum {
public:
  explicit RecentMaximum(Duration Window) : Window(Window) {}

  void add(Duration Value, Time Now) {
    if (!this->Current) {
      this->Since = Now;
    } else if (Now >= this->Since + this->Window) {
      this->Previous = *this->Current;
      this->Current = Value;
      this->Since = Now;
    }
    this->Current = std::max(this->Current.value_or(Value), Value);
  }

  /// Returns nothing if no duration was added yet.
  std::optional<Duration> value() const {
    if (!this->Current)
      return std::nullopt;
    return std::max(this->Previous, *this->Current);
  }

private:
  Duration Window;
  Duration Previous{}; ///< In the window before the current one.
  std::optional<Duration> Current;
  Time Since{}; ///< Start of the current window.
};

} // namespace banyanpick
