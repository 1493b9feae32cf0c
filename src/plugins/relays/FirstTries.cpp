#include "plugins/relays/FirstTries.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// How long a caller's time is remembered: callers whose time was made shorter
/// count as first again after twice that.
constexpr seconds RememberFor(10);

/// Callers of one route begin with times that differ by less; who is told to
/// come back waits for longer.
constexpr double FirstShare = 0.85;

} // namespace

bool FirstTries::isFirst(std::string_view Route, Duration Remaining, Time Now) {
  auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end())
    Found = this->ByRoute
                .emplace(std::string(Route), Longest{Remaining, Remaining, Now})
                .first;
  Longest &Of = Found->second;
  if (Now >= Of.Since + RememberFor) {
    Of.Before = Of.Current;
    Of.Current = Remaining;
    Of.Since = Now;
  }
  Of.Current = std::max(Of.Current, Remaining);
  return inSeconds(Remaining) >=
         inSeconds(std::max(Of.Before, Of.Current)) * FirstShare;
}

} // namespace banyanpick
