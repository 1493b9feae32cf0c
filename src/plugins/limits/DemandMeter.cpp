#include "plugins/limits/DemandMeter.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

void DemandMeter::add(double Amount, Time Now) {
  this->PerSecond = this->rate(Now) + Amount / inSeconds(TimeConstant);
  this->LatestAt = std::max(this->LatestAt, Now);
}

double DemandMeter::rate(Time Now) const {
  if (Now <= this->LatestAt)
    return this->PerSecond;
  const double Age = inSeconds(Now - this->LatestAt) / inSeconds(TimeConstant);
  return this->PerSecond * std::exp(-Age);
}

} // namespace banyanpick
