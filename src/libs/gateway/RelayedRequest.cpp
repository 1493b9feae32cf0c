#include "gateway/RelayedRequest.h"

#include <algorithm>
#include <array>

namespace banyanpick {

std::string_view name(RefusalKind Kind) {
  switch (Kind) {
  case RefusalKind::NoSuchRoute:
    return "no_route";
  case RefusalKind::UnknownKey:
    return "unknown_key";
  case RefusalKind::NotRun:
    return "not_run";
  case RefusalKind::OutcomeUnknown:
    return "outcome_unknown";
  case RefusalKind::TimedOut:
    return "timed_out";
  }
  return "unknown";
}

std::string_view name(RelayNeverSent::Why Reason) {
  switch (Reason) {
  case RelayNeverSent::Why::NotConnected:
    return "unsent";
  case RelayNeverSent::Why::Refused:
    return "connection_refused";
  case RelayNeverSent::Why::Withdrawn:
    return "taken_back";
  }
  return "unknown";
}

std::string_view name(RelayBroken::Why Reason) {
  switch (Reason) {
  case RelayBroken::Why::Reset:
    return "reset";
  case RelayBroken::Why::Silent:
    return "silent";
  case RelayBroken::Why::Malformed:
    return "malformed";
  case RelayBroken::Why::Foreign:
    return "foreign";
  case RelayBroken::Why::Corrupt:
    return "spoilt";
  }
  return "unknown";
}

UpstreamId faultyEngine(const RelayNotRun &Outcome, const UpstreamId &Engine,
                        std::span<const HelperEngine> Helpers) {
  for (const HelperEngine &Helper : Helpers)
    if (Outcome.FailedAt == Helper.At)
      return Helper.Engine;
  return Engine;
}

bool claimsNotRun(std::uint32_t Status) {
  constexpr std::array<std::uint32_t, 4> NotRunStatuses{408, 421, 429, 503};
  return std::ranges::count(NotRunStatuses, Status) != 0;
}

bool isAnswer(const RelayOutcome &Outcome) {
  return !std::holds_alternative<RelayNeverSent>(Outcome) &&
         !std::holds_alternative<RelayBroken>(Outcome);
}

} // namespace banyanpick
