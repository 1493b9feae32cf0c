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
  bool take(double Bytes, double BytesPerSecond, Time Now) {
    if (this->At != Time{})
      this->Owed = std::max(0.0, this->Owed - BytesPerSecond *
                                                  inSeconds(Now - this->At));
    this->At = Now;
    if (this->Owed > 0)
      return false;
    this->Owed = Bytes;
    return true;
  }

private:
  double Owed = 0;
  Time At{};
};

} // namespace banyanpick
