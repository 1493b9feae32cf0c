#include "plugins/membership/LocalHealth.h"

#include <algorithm>

namespace banyanpick {

namespace {

constexpr std::uint32_t MaxScore = 4;

/// Signs that come together count once.
constexpr milliseconds MinSignInterval(200);

/// So long without a sign, it is better by one.
constexpr seconds RecoveryInterval(1);

} // namespace

void LocalHealth::noteHeartbeat(Duration LateBy, Duration Interval, Time Now) {
  this->Lateness = std::max(LateBy, this->Lateness / 2);
  if (LateBy > Interval / 2) {
    this->worsen(Now);
    return;
  }
  if (this->Score == 0 || Now < this->ChangedAt + Duration(RecoveryInterval))
    return;
  --this->Score;
  this->ChangedAt = Now;
}

void LocalHealth::worsen(Time Now) {
  if (this->Score == MaxScore) {
    this->ChangedAt = Now;
    return;
  }
  if (this->Score > 0 && Now < this->ChangedAt + Duration(MinSignInterval))
    return;
  ++this->Score;
  this->ChangedAt = Now;
}

} // namespace banyanpick
