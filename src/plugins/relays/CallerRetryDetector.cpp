#include "plugins/relays/CallerRetryDetector.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// How long a caller's time is remembered: callers whose time was made shorter
/// count as first again after twice that.
constexpr seconds MaximumWindow(10);

/// Callers of one route begin with times that differ by less; who is told to
/// come back waits for longer.
constexpr double MinFirstAttemptShare = 0.85;

} // namespace

bool CallerRetryDetector::isFirstAttempt(std::string_view Route,
                                         Duration Remaining, Time Now) {
  auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    Found = this->ByRoute
                .emplace(std::string(Route),
                         RouteMaximum{Remaining, Remaining, Now})
                .first;
  RouteMaximum &Maximum = Found->second;
  if (Now >= Maximum.Since + MaximumWindow) {
    Maximum.Previous = Maximum.Current;
    Maximum.Current = Remaining;
    Maximum.Since = Now;
  }
  Maximum.Current = std::max(Maximum.Current, Remaining);
  return inSeconds(Remaining) >=
         inSeconds(std::max(Maximum.Previous, Maximum.Current)) *
             MinFirstAttemptShare;
}

} // namespace banyanpick
