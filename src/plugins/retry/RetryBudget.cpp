#include "plugins/retry/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

void RetryBudget::earn(Time Now) {
  this->advance(this->Policy.LeastBurst, Now);
  this->Earned += this->Policy.Share;
}

bool RetryBudget::spend(std::size_t Running, Time Now) {
  const double Burst =
      std::max(this->Policy.LeastBurst,
               this->Policy.BurstShare * static_cast<double>(Running));
  this->advance(Burst, Now);
  if (this->Earned >= 1) {
    this->Earned -= 1;
    return true;
  }
  if (this->UsedBurst + 1 > Burst)
    return false;
  this->UsedBurst += 1;
  return true;
}

void RetryBudget::advance(double Burst, Time Now) {
  if (Now <= this->Latest)
    return;
  const double Passed = inSeconds(Now - this->Latest);
  this->Latest = Now;
  this->Earned *= std::exp(-Passed / inSeconds(this->Policy.Window));
  const double Refilled = Burst * Passed / inSeconds(this->Policy.BurstRefill);
  this->UsedBurst = std::max(0.0, this->UsedBurst - Refilled);
}

} // namespace banyanpick
