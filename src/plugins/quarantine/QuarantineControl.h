/// \file
/// What operators can do about a quarantine.
#pragma once

#include "base/StrongId.h"
#include "kernel/Action.h"

namespace banyanpick {

/// Lets quarantined content run again at an operator's word.
class QuarantineControl {
public:
  virtual ~QuarantineControl() = default;
  /// Releases the content on this host and tells the others.
  virtual void release(Fingerprint Content, Time Now, Actions &Out) = 0;
};

} // namespace banyanpick
