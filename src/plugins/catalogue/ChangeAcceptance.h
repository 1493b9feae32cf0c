/// \file
/// Interface that decides when a change may be reported as accepted.
#pragma once

#include "base/Time.h"

namespace banyanpick {

/// Provided by the plug-in `catalogue`.
class ChangeAcceptance {
public:
  virtual ~ChangeAcceptance() = default;

  /// Whether a verdict read back now may be reported as accepted. This requires
  /// that this host reads the log and hears from most hosts. Those hosts then
  /// learn of the change within the freshness window or stop admitting
  /// requests.
  virtual bool mayAccept(Time Now) const = 0;
};

} // namespace banyanpick
