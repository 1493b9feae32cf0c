#include "plugins/routing/CapacityShare.h"

#include "plugins/routing/EngineCost.h"

namespace banyanpick {

double CapacityShare::hostShare(const ModelId &Model, const FleetView &Fleet,
                                const MembershipView &Members, Time Now) {
  CachedShare &Cached = this->ByModel[Model];
  if (Now < Cached.UpdatedAt + Lifetime)
    return Cached.Share;
  double Sum = 0;
  for (const std::uint32_t Position : Fleet.enginesWith(Model)) {
    const Upstream &Engine = Fleet.upstreams()[Position];
    if (Engine.State == UpstreamState::Live)
      Sum += prefillSpeed(Engine);
  }
  const double Hosts = 1 + static_cast<double>(Members.livePeers().size());
  Cached = {Now, Sum / Hosts};
  return Cached.Share;
}

} // namespace banyanpick
