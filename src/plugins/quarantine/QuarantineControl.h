/// \file
/// The operator interface of the quarantine.
#pragma once

#include "base/StrongId.h"
#include "kernel/Action.h"

namespace banyanpick {

/// Releases quarantined content on behalf of an operator.
class QuarantineControl {
public:
  virtual ~QuarantineControl() = default;
  /// Releases the content on this host and notifies the other hosts.
  virtual void release(Fingerprint Content, Time Now, Actions &Out) = 0;
};

} // namespace banyanpick
