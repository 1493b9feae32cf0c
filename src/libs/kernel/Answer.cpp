#include "kernel/Answer.h"

namespace banyanpick {

std::string_view name(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::NotReady:
    return "not-ready";
  case RefusalReason::Leaving:
    return "leaving";
  case RefusalReason::NotCurrent:
    return "not-current";
  case RefusalReason::NotAllowed:
    return "not-allowed";
  case RefusalReason::BadRequest:
    return "bad-request";
  case RefusalReason::OverLimit:
    return "over-limit";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::NoUpstream:
    return "no-upstream";
  case RefusalReason::Quarantined:
    return "quarantined";
  case RefusalReason::LogUnavailable:
    return "log-unavailable";
  case RefusalReason::KeyTooOld:
    return "key-too-old";
  }
  return "unknown";
}

} // namespace banyanpick
