#include "gateway/AnswerSignals.h"

#include "base/Visitor.h"

namespace banyanpick {

Duration backoffLength(const BackoffSignal &Signal) {
  return match(
      Signal, [](const NoBackoff &) { return Duration(0); },
      [](const BackoffRequested &Requested) { return Requested.For; },
      [](const BackoffUnreadable &Unreadable) {
        return Unreadable.AppliedLength;
      });
}

} // namespace banyanpick
