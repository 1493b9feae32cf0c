#include "plugins/retry/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

void RetryBudget::recordAdmission(Time Now) {
  this->advance(this->Policy.MinBurst, Now);
  this->EarnedRetries += this->Policy.RetriesPerRequest;
}

bool RetryBudget::tryAcquire(std::size_t Running, Time Now) {
  const double Burst =
      std::max(this->Policy.MinBurst,
               this->Policy.BurstShare * static_cast<double>(Running));
  this->advance(Burst, Now);
  if (this->EarnedRetries >= 1) {
    this->EarnedRetries -= 1;
    return true;
  }
  if (this->UsedBurst + 1 > Burst)
    return false;
  this->UsedBurst += 1;
  return true;
}

void RetryBudget::advance(double Burst, Time Now) {
  if (Now <= this->LastUpdate)
    return;
  const double Passed = inSeconds(Now - this->LastUpdate);
  this->LastUpdate = Now;
  this->EarnedRetries *= std::exp(-Passed / inSeconds(this->Policy.Window));
  const double Refilled = Burst * Passed / inSeconds(this->Policy.BurstRefill);
  this->UsedBurst = std::max(0.0, this->UsedBurst - Refilled);
}

} // namespace banyanpick
