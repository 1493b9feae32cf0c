#include "plugins/relays/AnswerTimes.h"

namespace banyanpick {

namespace {

/// Long enough for several answers on rarely used routes.
constexpr seconds MaximumWindow(30);

} // namespace

AnswerTimes::RouteTimes &AnswerTimes::timesOf(std::string_view Route) {
  auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    Found = this->ByRoute
                .emplace(std::string(Route),
                         RouteTimes{RecentMaximum(MaximumWindow),
                                    RecentMaximum(MaximumWindow)})
                .first;
  return Found->second;
}

void AnswerTimes::recordBegin(std::string_view Route, Duration SinceSent,
                              Time Now) {
  this->timesOf(Route).ToBegin.add(SinceSent, Now);
}

void AnswerTimes::recordEnd(std::string_view Route, Duration SinceBegin,
                            Time Now) {
  this->timesOf(Route).ToEnd.add(SinceBegin, Now);
}

std::optional<Duration> AnswerTimes::longest(std::string_view Route,
                                             Duration Predicted) const {
  const auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    return std::nullopt;
  const std::optional<Duration> ToBegin = Found->second.ToBegin.value();
  const std::optional<Duration> ToEnd = Found->second.ToEnd.value();
  if (!ToBegin || !ToEnd)
    return std::nullopt;
  return (Predicted > Duration(0) ? Predicted : *ToBegin) + *ToEnd;
}

} // namespace banyanpick
