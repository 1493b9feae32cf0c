/// \file
/// How long the answers of each route take.
#pragma once

#include "base/RecentMaximum.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// Keeps the longest recent times of whole answers. A stopping host sends no
/// request whose answer would outlast it.
class AnswerTimes {
public:
  /// Records that a whole answer or the first event of a stream arrived so long
  /// after its request was sent.
  void recordBegin(std::string_view Route, Duration SinceSent, Time Now);
  /// Records that a stream ended so long after its first event. \p Tokens is
  /// the number of output tokens that its request named; zero: unknown.
  void recordEnd(std::string_view Route, Duration SinceBegin,
                 std::uint64_t Tokens, Time Now);

  /// Returns the time from sending a request until its answer has ended. It is
  /// not known before an answer of the route has ended. \p Predicted is the
  /// predicted time to the first event, and \p Tokens the number of output
  /// tokens that the request names; zero: unknown.
  std::optional<Duration> longest(std::string_view Route, Duration Predicted,
                                  std::uint64_t Tokens) const;

private:
  struct RouteTimes;

  RouteTimes &timesOf(std::string_view Route);

  struct RouteTimes {
    RecentMaximum ToBegin;
    RecentMaximum ToEnd;        ///< From the begin.
    RecentMaximum ToEndByToken; ///< The same for one output token.
  };
  std::map<std::string, RouteTimes, std::less<>> ByRoute;
};

} // namespace banyanpick
