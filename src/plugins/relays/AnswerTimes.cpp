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
                                    RecentMaximum(MaximumWindow),
                                    RecentMaximum(MaximumWindow)})
                .first;
  return Found->second;
}

void AnswerTimes::recordBegin(std::string_view Route, Duration SinceSent,
                              Time Now) {
  this->timesOf(Route).ToBegin.add(SinceSent, Now);
}

void AnswerTimes::recordEnd(std::string_view Route, Duration SinceBegin,
                            std::uint64_t Tokens, Time Now) {
  RouteTimes &Times = this->timesOf(Route);
  Times.ToEnd.add(SinceBegin, Now);
  if (Tokens > 0)
    Times.ToEndByToken.add(
        fromSeconds(inSeconds(SinceBegin) / static_cast<double>(Tokens)), Now);
}

std::optional<Duration> AnswerTimes::longest(std::string_view Route,
                                             Duration Predicted,
                                             std::uint64_t Tokens) const {
  const auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    return std::nullopt;
  const std::optional<Duration> ToBegin = Found->second.ToBegin.value();
  std::optional<Duration> ToEnd = Found->second.ToEnd.value();
  if (!ToBegin || !ToEnd)
    return std::nullopt;
  const std::optional<Duration> ByToken = Found->second.ToEndByToken.value();
  if (Tokens > 0 && ByToken)
    ToEnd = std::max(
        *ToEnd, fromSeconds(inSeconds(*ByToken) * static_cast<double>(Tokens)));
  return (Predicted > Duration(0) ? Predicted : *ToBegin) + *ToEnd;
}

} // namespace banyanpick
