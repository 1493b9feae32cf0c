/// \file
/// The interface that executes the actions of a kernel.
#pragma once

#include "kernel/Action.h"

#include <vector>

namespace banyanpick {

/// Executes actions. Used on the control thread only.
class ActionPerformer {
public:
  virtual ~ActionPerformer() = default;
  /// Executes the actions in the given order.
  virtual void perform(std::vector<Action> Wanted) = 0;
  /// Called when an attempt ended without being cancelled.
  virtual void forget(const AttemptId &) {}
};

} // namespace banyanpick
