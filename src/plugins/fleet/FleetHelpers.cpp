#include "plugins/fleet/FleetHelpers.h"

#include <algorithm>
#include <sstream>

namespace banyanpick {

namespace {

/// A difference above this share of the greater value is significant.
constexpr double SignificantShare = 0.1;

bool differsSignificantly(double First, double Second) {
  const double Greater = std::max(First, Second);
  return std::max(First - Second, Second - First) > Greater * SignificantShare;
}

} // namespace

std::string_view name(UpstreamState State) {
  switch (State) {
  case UpstreamState::Unknown:
    return "unknown";
  case UpstreamState::Live:
    return "live";
  case UpstreamState::Leaving:
    return "leaving";
  case UpstreamState::Dead:
    return "dead";
  }
  return "unknown";
}

bool differsSignificantly(const LoadReport &First, const LoadReport &Second) {
  return differsSignificantly(
             static_cast<double>(First.QueuedPrefillTokens),
             static_cast<double>(Second.QueuedPrefillTokens)) ||
         differsSignificantly(static_cast<double>(First.FreeMemoryTokens),
                              static_cast<double>(Second.FreeMemoryTokens)) ||
         differsSignificantly(First.Running, Second.Running) ||
         differsSignificantly(First.Queued, Second.Queued);
}

std::set<ZoneId> parseZones(std::string_view List) {
  std::set<ZoneId> Result;
  std::istringstream Items{std::string(List)};
  for (std::string Item; std::getline(Items, Item, ',');) {
    std::erase(Item, ' ');
    if (!Item.empty())
      Result.insert(ZoneId(Item));
  }
  return Result;
}

} // namespace banyanpick
