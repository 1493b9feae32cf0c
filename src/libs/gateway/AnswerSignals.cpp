#include "gateway/AnswerSignals.h"

#include "base/Visitor.h"

namespace banyanpick {

Duration backoffLength(const BackoffSignal &Of) {
  return match(
      Of, [](const NoBackoff &) { return Duration(0); },
      [](const BackoffRequested &Is) { return Is.For; },
      [](const BackoffUnreadable &Is) { return Is.AppliedLength; });
}

} // namespace banyanpick
