#include "plugins/routing/ApplicationChoice.h"

#include <tuple>

namespace banyanpick {

namespace {

/// Calls that may run on an application engine before another zone's is
/// worth the way.
constexpr std::uint32_t BusyCalls = 32;

/// Orders candidates: not overfull, own zone, least outstanding, chance.
using Rank = std::tuple<bool, bool, std::uint32_t, std::uint64_t>;

} // namespace

Selection chooseApplication(const FleetView &Fleet, const Request &Wanted,
                            const SelectionLimits &Limits,
                            const ZoneId &SelfZone, Random &Numbers) {
  const Upstream *Best = nullptr;
  Rank BestRank;
  for (const std::uint32_t Each : Fleet.applications(Wanted.Class.TargetName)) {
    const Upstream &Here = Fleet.upstreams()[Each];
    if (Here.State != UpstreamState::Live ||
        Limits.Excluded.contains(Here.Listing.Id))
      continue;
    const std::uint32_t Calls = Here.OutstandingHere + Here.PeerRequests;
    const Rank HereRank{Calls >= BusyCalls, Here.Listing.Zone != SelfZone,
                        Calls, Numbers.below(~std::uint64_t(0))};
    if (Best && BestRank <= HereRank)
      continue;
    Best = &Here;
    BestRank = HereRank;
  }
  if (!Best)
    return NothingFits{true, Duration(0)};
  Selected Choice;
  Choice.Upstream = Best->Listing.Id;
  return Choice;
}

} // namespace banyanpick
