#include "plugins/hostdirectory/NearbyHosts.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

/// A count halves in this time: twice the usual time for which callers keep an
/// answer.
constexpr seconds CountHalfLife(2);

/// The expected share counts like this many callers. With fewer, single callers
/// would look like a wave.
constexpr double ExpectedWeight = 20;

} // namespace

double ZoneDemand::valueAt(const Count &Counted, Time Now) {
  return Counted.Value *
         std::exp2(-inSeconds(Now - Counted.At) / inSeconds(CountHalfLife));
}

void ZoneDemand::note(const ZoneId &Zone, Time Now) {
  Count &Counted = this->ByZone[Zone];
  Counted = {valueAt(Counted, Now) + 1, Now};
}

double ZoneDemand::shareOf(const ZoneId &Zone, double Expected,
                           Time Now) const {
  double Sum = ExpectedWeight;
  double Own = ExpectedWeight * Expected;
  for (const auto &[Id, Counted] : this->ByZone) {
    const double Value = valueAt(Counted, Now);
    Sum += Value;
    Own += Id == Zone ? Value : 0;
  }
  return Own / Sum;
}

double nearbyShare(const ZoneStanding &Zone, const NearbyLimits &Limits) {
  if (Zone.Suspects > 0 ||
      Zone.Hosts < std::max<std::size_t>(Limits.MinHosts, 1))
    return 0;
  const double Demand = Zone.DemandShare;
  const double Capacity = Zone.CapacityShare;
  const double Allowed = Capacity * Limits.MaxLoad;
  if (Demand <= Allowed || Capacity >= 1)
    return 1;
  // The hosts get Share of the demand, and their part of the remaining demand,
  // which is spread over all hosts. Together this must not exceed Allowed.
  const double Share =
      (Allowed - Demand * Capacity) / (Demand * (1 - Capacity));
  return std::clamp(Share, 0.0, 1.0);
}

} // namespace banyanpick
