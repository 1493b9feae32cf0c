#include "plugins/limits/TokenBucket.h"

#include <algorithm>

namespace banyanpick {

void TokenBucket::setRate(double Rate, Time Now) {
  this->advance(Now);
  this->PerSecond = Rate;
  this->Level = this->IsStarted ? std::min(this->Level, this->capacity())
                                : this->capacity();
  this->IsStarted = true;
}

Duration TokenBucket::waitFor(double Cost, Time Now) {
  this->advance(Now);
  const double Needed = std::min(Cost, this->capacity());
  if (this->PerSecond <= 0)
    return Duration::max();
  if (this->Level >= Needed)
    return Duration(0);
  // Rounded up, so that the request passes when it is checked at that time.
  return fromSeconds((Needed - this->Level) / this->PerSecond) + Duration(1);
}

void TokenBucket::take(double Cost, Time Now) {
  this->advance(Now);
  this->Level = std::min(this->Level - Cost, this->capacity());
}

double TokenBucket::level(Time Now) {
  this->advance(Now);
  return this->Level;
}

void TokenBucket::advance(Time Now) {
  if (Now <= this->LatestAt)
    return;
  const double Filled = inSeconds(Now - this->LatestAt) * this->PerSecond;
  this->LatestAt = Now;
  this->Level = std::min(this->capacity(), this->Level + Filled);
}

double TokenBucket::capacity() const {
  return this->PerSecond * inSeconds(this->Burst);
}

} // namespace banyanpick
