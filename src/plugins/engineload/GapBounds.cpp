#include "plugins/engineload/GapBounds.h"

#include <algorithm>

namespace banyanpick {

double boundMs(Duration Declared) {
  constexpr double MsPerSecond = 1e3;
  return Declared > Duration(0) ? inSeconds(Declared) * MsPerSecond
                                : UnboundedMs;
}

double GapBounds::shortestMs(const ServiceId &Service,
                             const RouteTable &Routes) {
  if (this->ById.empty() || this->Version != Routes.version()) {
    this->Version = Routes.version();
    this->ById.clear();
    for (const RouteEntry &Each : Routes.configuration().Routes) {
      const double Pause = boundMs(Each.MaxEventGap);
      const double Bound =
          Pause < UnboundedMs ? Pause : boundMs(Each.Objective);
      for (const WeightedService &To : Each.Split) {
        const auto Known = this->ById.try_emplace(To.Service, Bound).first;
        Known->second = std::min(Known->second, Bound);
      }
    }
  }
  const auto Found = this->ById.find(Service);
  return Found == this->ById.end() ? UnboundedMs : Found->second;
}

} // namespace banyanpick
