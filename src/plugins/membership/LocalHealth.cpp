#include "plugins/membership/LocalHealth.h"

#include <algorithm>

namespace banyanpick {

namespace {

constexpr std::uint32_t MaxScore = 4;

/// Signs of poor health within this interval count once.
constexpr milliseconds MinSignInterval(200);

/// The score decreases by one after each such interval without a sign.
constexpr seconds RecoveryInterval(1);

} // namespace

void LocalHealth::noteHeartbeat(Duration HeartbeatDelay, Duration Interval,
                                Time Now) {
  this->Lateness = std::max(HeartbeatDelay, this->Lateness / 2);
  if (HeartbeatDelay > Interval / 2) {
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
