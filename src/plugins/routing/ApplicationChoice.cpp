#include "plugins/routing/ApplicationChoice.h"

#include <tuple>

namespace banyanpick {

namespace {

/// An application engine with at least this many calls is busy. An engine of
/// another zone is then preferred in spite of the network delay.
constexpr std::uint32_t BusyCalls = 32;

/// Order of candidates: not busy, own zone, fewest outstanding calls, random.
using Rank = std::tuple<bool, bool, std::uint32_t, std::uint64_t>;

} // namespace

Selection chooseApplication(const FleetView &Fleet, const Request &Req,
                            const SelectionLimits &Limits,
                            const ZoneId &SelfZone, Random &Rng) {
  const Upstream *Best = nullptr;
  Rank BestRank;
  for (const std::uint32_t Position :
       Fleet.applications(Req.Class.TargetName)) {
    const Upstream &Engine = Fleet.upstreams()[Position];
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
