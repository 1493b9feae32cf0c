#include "plugins/enginelimits/LimitInForce.h"

#include <algorithm>

namespace banyanpick {

bool ColdState::take(double RatePerSecond, Duration For, Time Now) {
  if (For <= Duration(0) || Now + For <= this->End)
    return false;
  this->PerSecond = RatePerSecond;
  this->End = Now + For + ColdMargin;
  return true;
}

Duration ColdState::left(Time Now) const {
  return std::max(Duration(0), this->End - ColdMargin - Now);
}

std::optional<LimitInForce> lowestLimit(const LimitState &Declared,
                                        const ColdState &Cold, Time Now) {
  std::optional<LimitInForce> Result;
  if (Declared.isLimited())
    Result = LimitInForce{*Declared.newest().PerSecond};
  if (Cold.isCold(Now) && (!Result || Cold.perSecond() < Result->PerSecond))
    Result = LimitInForce{Cold.perSecond(), LimitInForce::Source::Cold,
                          Cold.until()};
  return Result;
}

} // namespace banyanpick
