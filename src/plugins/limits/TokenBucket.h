/// \file
/// A token bucket that may go into debt for one request larger than itself.
#pragma once

#include "base/Time.h"

namespace banyanpick {

/// Fills at a rate up to what it holds for Burst. A request passes when the
/// bucket holds its cost, or is full; its whole cost is then taken, so that
/// over time the rate is kept whatever the sizes of requests. The worst over a
/// span T is rate * (T + Burst) and one request.
class TokenBucket {
public:
  explicit TokenBucket(Duration Burst) : Burst(Burst) {}

  /// \p PerSecond applies from \p Now on; what is in the bucket beyond the
  /// new capacity is lost. The first call fills it.
  void setRate(double PerSecond, Time Now);

  /// How long until a request of this cost passes; zero: now. Duration::max()
  /// when the rate is zero.
  Duration waitFor(double Cost, Time Now);

  /// Takes the cost, or gives it back when negative.
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
