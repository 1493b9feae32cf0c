#include "plugins/retry/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

void RetryBudget::earn(Time Now) {
  this->advance(Now);
  this->Earned += this->Policy.Share;
}

bool RetryBudget::spend(Time Now) {
  this->advance(Now);
  if (this->Floor >= 1) {
    this->Floor -= 1;
    return true;
  }
  if (this->Floor + this->Earned < 1)
    return false;
  this->Earned -= 1 - this->Floor;
  this->Floor = 0;
  return true;
}

double RetryBudget::left(Time Now) {
  this->advance(Now);
  return this->Floor + this->Earned;
}

void RetryBudget::advance(Time Now) {
  const double Window = inSeconds(this->Policy.Window);
  const double Cap = this->Policy.FloorPerSecond * Window;
  if (this->Floor < 0) {
    this->Floor = Cap;
    this->Latest = Now;
    return;
  }
  if (Now <= this->Latest)
    return;
  const double Passed = inSeconds(Now - this->Latest);
  this->Latest = Now;
  this->Earned *= std::exp(-Passed / Window);
  this->Floor =
      std::min(Cap, this->Floor + Passed * this->Policy.FloorPerSecond);
}

} // namespace banyanpick
