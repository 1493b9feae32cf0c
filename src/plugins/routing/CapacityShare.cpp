#include "plugins/routing/CapacityShare.h"

#include "plugins/routing/EngineCost.h"

namespace banyanpick {

double CapacityShare::of(const ModelId &Model, const FleetView &Fleet,
                         const MembershipView &Members, Time Now) {
  Judged &Known = this->ByModel[Model];
  if (Now < Known.At + Lifetime)
    return Known.Share;
  double Sum = 0;
  for (const std::uint32_t Each : Fleet.enginesWith(Model)) {
    const Upstream &Engine = Fleet.upstreams()[Each];
    if (Engine.State == UpstreamState::Live)
      Sum += prefillSpeed(Engine);
  }
  const double Hosts = 1 + static_cast<double>(Members.livePeers().size());
  Known = {Now, Sum / Hosts};
  return Known.Share;
}

} // namespace banyanpick
