/// \file
/// Decides how many callers of a zone are sent to hosts of the same zone.
#pragma once

#include "kernel/Upstream.h"

#include <map>

namespace banyanpick {

/// Counts from which zones callers ask for hosts. Counts decay, so that a wave
/// of demand shows within seconds.
class ZoneDemand {
public:
  void note(const ZoneId &Zone, Time Now);
  /// Returns the zone's share of the callers that asked. \p Expected is the
  /// share without any information; it matters while few callers asked.
  double shareOf(const ZoneId &Zone, double Expected, Time Now) const;

private:
  struct Count {
    double Value = 0;
    Time At{};
  };

  static double valueAt(const Count &Counted, Time Now);

  std::map<ZoneId, Count> ByZone;
};

/// What a host knows about the hosts and the callers of one zone.
struct ZoneStanding {
  std::size_t Hosts = 0;    ///< Ready hosts.
  std::size_t Suspects = 0; ///< Hosts that may have failed.
  double CapacityShare = 0; ///< Of the processor of all ready hosts.
  double DemandShare = 0;   ///< Of all callers.
};

struct NearbyLimits {
  std::size_t MinHosts = 0; ///< A zone with fewer is not preferred.
  /// Load of a zone's hosts, as a multiple of the mean of all hosts, up to
  /// which its callers stay in the zone.
  double MaxLoad = 1;
};

/// Returns the share of the zone's callers that are sent to hosts of the zone;
/// the others are sent to hosts of all zones. Zero while a host of the zone is
/// suspect: the whole zone may be lost, and an answer that names only hosts
/// that are not suspect yet would name only lost hosts. Meant for a
/// wave of demand in one zone, which must not exceed what the hosts of the zone
/// can serve while others are idle.
double nearbyShare(const ZoneStanding &Zone, const NearbyLimits &Limits);

} // namespace banyanpick
