/// \file
/// A token bucket whose level may become negative for one request that is
/// larger than its capacity.
#pragma once

#include "base/Time.h"

namespace banyanpick {

/// Fills at a rate up to the amount that arrives in Burst. A request passes
/// when the bucket holds its cost or is full. The full cost is then taken, so
/// that the rate holds over time for all request sizes. At most
/// rate * (T + Burst) plus one request passes in a time T.
class TokenBucket {
public:
  explicit TokenBucket(Duration Burst) : Burst(Burst) {}

  /// \p PerSecond applies from \p Now on. The level above the new capacity is
  /// discarded. The first call fills the bucket.
  void setRate(double PerSecond, Time Now);

  /// Returns the time until a request of this cost passes: zero if it passes
  /// now, Duration::max() if the rate is zero.
  Duration waitFor(double Cost, Time Now);

  /// Takes the cost. A negative cost is added.
  void take(double Cost, Time Now);

  double level(Time Now);
  double rate() const { return this->PerSecond; }

private:
  void advance(Time Now);
  double capacity() const;

  Duration Burst;
  double PerSecond = 0;
  double Level = 0;
  Time LatestAt{};
  bool IsStarted = false;
};

} // namespace banyanpick
