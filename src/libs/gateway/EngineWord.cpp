#include "gateway/EngineWord.h"

#include "base/Visitor.h"

namespace banyanpick {

Duration lengthOf(const RestSaid &Of) {
  return match(
      Of, [](const RestUnasked &) { return Duration(0); },
      [](const RestAsked &Is) { return Is.For; },
      [](const RestUnreadable &Is) { return Is.TakenAs; });
}

} // namespace banyanpick
