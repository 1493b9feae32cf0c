/// \file
/// An exponentially weighted moving average of a rate.
#pragma once

#include "base/Time.h"

namespace banyanpick {

class DemandMeter {
public:
  void add(double Amount, Time Now);
  /// Returns the amount per second, averaged over about TimeConstant.
  double rate(Time Now) const;

  /// Time constant of the average.
  static constexpr Duration TimeConstant = seconds(5);

private:
  double PerSecond = 0;
  Time LatestAt{};
};

} // namespace banyanpick
