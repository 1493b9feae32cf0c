/// \file
/// Which requests are their caller's first try.
#pragma once

#include "base/Time.h"

#include <map>
#include <string>
#include <string_view>

namespace banyanpick {

/// Callers tell only how long they still wait. Those of one route begin with
/// much the same time, so whoever has less has tried before, and may not come
/// back once more when it is turned away.
class CallerRetryDetector {
public:
  /// Notes the request; \p Remaining is the time that its caller says it has.
  bool isFirstAttempt(std::string_view Route, Duration Remaining, Time Now);

private:
  /// The longest time that a caller of the route had, lately.
  struct RouteMaximum {
    Duration Previous{}; ///< In the span before the current one.
    Duration Current{};
    Time Since{};
  };

  std::map<std::string, RouteMaximum, std::less<>> ByRoute;
};

} // namespace banyanpick
