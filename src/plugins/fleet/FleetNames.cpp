#include "plugins/fleet/FleetNames.h"

#include <algorithm>
#include <sstream>

namespace banyanpick {

namespace {

/// A tenth of the greater value is worth telling.
constexpr double TellingShare = 0.1;

bool differsMuch(double First, double Second) {
  const double Greater = std::max(First, Second);
  return std::max(First - Second, Second - First) > Greater * TellingShare;
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

bool differsMuch(const LoadReport &First, const LoadReport &Second) {
  return differsMuch(static_cast<double>(First.QueuedPrefillTokens),
                     static_cast<double>(Second.QueuedPrefillTokens)) ||
         differsMuch(static_cast<double>(First.FreeMemoryTokens),
                     static_cast<double>(Second.FreeMemoryTokens)) ||
         differsMuch(First.Running, Second.Running) ||
         differsMuch(First.Queued, Second.Queued);
}

std::set<ZoneId> zonesIn(std::string_view List) {
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
