#include "plugins/membership/LocalHealth.h"

#include <algorithm>

namespace banyanpick {

namespace {

constexpr std::uint32_t WorstScore = 4;

/// Signs that come together count once.
constexpr milliseconds OneSign(200);

/// So long without a sign, it is better by one.
constexpr seconds CalmFor(1);

} // namespace

void LocalHealth::noteBeat(Duration LateBy, Duration Interval, Time Now) {
  this->Late = std::max(LateBy, this->Late / 2);
  if (LateBy > Interval / 2) {
    this->worsen(Now);
    return;
  }
  if (this->Score == 0 || Now < this->ChangedAt + Duration(CalmFor))
    return;
  --this->Score;
  this->ChangedAt = Now;
}

void LocalHealth::worsen(Time Now) {
  if (this->Score == WorstScore) {
    this->ChangedAt = Now;
    return;
  }
  if (this->Score > 0 && Now < this->ChangedAt + Duration(OneSign))
    return;
  ++this->Score;
  this->ChangedAt = Now;
}

} // namespace banyanpick
