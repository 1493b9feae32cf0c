/// \file
/// This host's part of what the weight store can give.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace banyanpick {

/// A token bucket that may go into debt: a load is let go when nothing is
/// owed, and then owes its bytes. Over any time the loads exceed the rate by
/// one load at most.
class WeightBudget {
public:
  /// Whether \p Bytes may be loaded now; takes them if so.
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
