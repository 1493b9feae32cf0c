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
    for (const RouteEntry &Route : Routes.configuration().Routes) {
      const double Gap = boundMs(Route.MaxEventGap);
      const double Bound = Gap < UnboundedMs ? Gap : boundMs(Route.Objective);
      for (const WeightedService &Target : Route.Split) {
        const auto Entry = this->ById.try_emplace(Target.Service, Bound).first;
        Entry->second = std::min(Entry->second, Bound);
      }
    }
  }
  const auto Found = this->ById.find(Service);
  return Found == this->ById.end() ? UnboundedMs : Found->second;
}

} // namespace banyanpick
