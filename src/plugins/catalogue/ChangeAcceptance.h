/// \file
/// When an operator may be told that a change is in force.
#pragma once

#include "base/Time.h"

namespace banyanpick {

/// Provided by the plug-in `catalogue`.
class ChangeAcceptance {
public:
  virtual ~ChangeAcceptance() = default;

  /// Whether a verdict read back now may be told as accepted: this host reads
  /// the log and hears from most hosts, which therefore learn of the change
  /// within the window or stop admitting.
  virtual bool mayAccept(Time Now) const = 0;
};

} // namespace banyanpick
