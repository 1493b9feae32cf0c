/// \file
/// An exponentially fading mean of a rate.
#pragma once

#include "base/Time.h"

namespace banyanpick {

class DemandMeter {
public:
  void add(double Amount, Time Now);
  /// Amount a second, over about Span.
  double rate(Time Now) const;

  /// Time constant of the mean.
  static constexpr Duration TimeConstant = seconds(5);

private:
  double PerSecond = 0;
  Time LatestAt{};
};

} // namespace banyanpick
