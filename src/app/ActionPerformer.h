/// \file
/// Who carries out what a kernel asks for.
#pragma once

#include "kernel/Action.h"

#include <vector>

namespace banyanpick {

/// Used on the control thread only.
class ActionPerformer {
public:
  virtual ~ActionPerformer() = default;
  /// Carries them out in their order.
  virtual void perform(std::vector<Action> Wanted) = 0;
  /// The try ended by itself.
  virtual void forget(const AttemptId &) {}
};

} // namespace banyanpick
