#include "plugins/relays/CallerRetryDetector.h"

namespace banyanpick {

namespace {

/// Length of the window over which the longest remaining time is kept. When
/// the callers of a route start with a shorter time, their first attempts are
/// recognized again after two windows.
constexpr seconds MaximumWindow(10);

/// A request with at least this share of the route's longest remaining time is
/// a first attempt. The initial times of one route's callers differ by less,
/// and a caller that retries later has waited longer than the difference.
constexpr double MinFirstAttemptShare = 0.85;

} // namespace

bool CallerRetryDetector::isFirstAttempt(std::string_view Route,
                                         Duration Remaining, Time Now) {
  auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    Found =
        this->ByRoute.emplace(std::string(Route), RecentMaximum(MaximumWindow))
            .first;
  RecentMaximum &Longest = Found->second;
  Longest.add(Remaining, Now);
  return inSeconds(Remaining) >=
         inSeconds(*Longest.value()) * MinFirstAttemptShare;
}

} // namespace banyanpick
