#include "plugins/limits/DemandMeter.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

void DemandMeter::add(double Amount, Time Now) {
  this->PerSecond = this->rate(Now) + Amount / inSeconds(Span);
  this->Latest = std::max(this->Latest, Now);
}

double DemandMeter::rate(Time Now) const {
  if (Now <= this->Latest)
    return this->PerSecond;
  const double Age = inSeconds(Now - this->Latest) / inSeconds(Span);
  return this->PerSecond * std::exp(-Age);
}

} // namespace banyanpick
