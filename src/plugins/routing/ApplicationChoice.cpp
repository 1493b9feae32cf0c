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

Selection chooseApplication(const FleetView &Fleet, const Request &Req,
                            const SelectionLimits &Limits,
                            const ZoneId &SelfZone, Random &Rng) {
  const Upstream *Best = nullptr;
  Rank BestRank;
  for (const std::uint32_t Each : Fleet.applications(Req.Class.TargetName)) {
    const Upstream &Engine = Fleet.upstreams()[Each];
    if (Engine.State != UpstreamState::Live ||
        Limits.Excluded.contains(Engine.Listing.Id))
      continue;
    const std::uint32_t Calls = Engine.OutstandingHere + Engine.PeerRequests;
    const Rank EngineRank{Calls >= BusyCalls, Engine.Listing.Zone != SelfZone,
                          Calls, Rng.below(~std::uint64_t(0))};
    if (Best && BestRank <= EngineRank)
      continue;
    Best = &Engine;
    BestRank = EngineRank;
  }
  if (!Best)
    return NothingFits{true, Duration(0)};
  Selected Choice;
  Choice.Upstream = Best->Listing.Id;
  return Choice;
}

} // namespace banyanpick
