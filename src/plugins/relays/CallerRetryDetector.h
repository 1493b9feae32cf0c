/// \file
/// Distinguishes first attempts of callers from their retries.
#pragma once

#include "base/RecentMaximum.h"

#include <map>
#include <string>
#include <string_view>

namespace banyanpick {

/// Recognizes retries of callers by their remaining time. A request only states
/// how long its caller still waits. Callers of one route start with similar
/// times, so a request with clearly less time is a retry. A caller that has
/// retried once might not retry again after a second refusal, so it must not be
/// asked to.
class CallerRetryDetector {
public:
  /// Records the request and returns whether it is a first attempt.
  /// \p Remaining is the remaining time that the caller states.
  bool isFirstAttempt(std::string_view Route, Duration Remaining, Time Now);

private:
  /// The longest remaining times of each route's requests.
  std::map<std::string, RecentMaximum, std::less<>> ByRoute;
};

} // namespace banyanpick
