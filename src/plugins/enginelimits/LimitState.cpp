#include "plugins/enginelimits/LimitState.h"

#include <cmath>
#include <limits>

namespace banyanpick {

namespace {

double rateOf(const LimitReport &Report) {
  return Report.PerSecond.value_or(std::numeric_limits<double>::infinity());
}

} // namespace

bool LimitState::take(const LimitReport &Report) {
  const bool Newer = Report.At > this->Newest.At;
  const bool Stricter =
      Report.At == this->Newest.At && rateOf(Report) < rateOf(this->Newest);
  if (!Newer && !Stricter)
    return false;
  const bool Changed = Report.PerSecond != this->Newest.PerSecond;
  this->Newest = Report;
  return Changed;
}

} // namespace banyanpick
