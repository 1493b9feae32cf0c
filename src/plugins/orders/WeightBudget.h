/// \file
/// Limits model loads to this host's share of the weight store's bandwidth.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace banyanpick {

/// A token bucket that may go into debt. A load starts when there is no debt
/// and then adds its bytes to the debt. Over any period the loads exceed the
/// rate by at most one load.
class WeightBudget {
public:
  /// Returns whether \p Bytes may be loaded now, and charges them if so.
  bool tryAcquire(double Bytes, double BytesPerSecond, Time Now) {
    if (this->UpdatedAt != Time{})
      this->Debt = std::max(
          0.0, this->Debt - BytesPerSecond * inSeconds(Now - this->UpdatedAt));
    this->UpdatedAt = Now;
    if (this->Debt > 0)
      return false;
    this->Debt = Bytes;
    return true;
  }

private:
  double Debt = 0;
  Time UpdatedAt{};
};

} // namespace banyanpick
