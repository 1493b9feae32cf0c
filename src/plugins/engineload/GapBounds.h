/// \file
/// The inter-event gap bounds of services.
#pragma once

#include "gateway/RouteTable.h"

#include <map>

namespace banyanpick {

/// Caches the shortest inter-event gap that routes to each service declare. The
/// cache is valid for one configuration version, as a configuration may have
/// hundreds of routes.
class GapBounds {
public:
  /// Returns the bound in milliseconds. A service whose routes declare no gap
  /// is bounded by its shortest objective; a service without either is
  /// unbounded.
  double shortestMs(const ServiceId &Service, const RouteTable &Routes);

private:
  std::uint64_t Version = 0;
  std::map<ServiceId, double> ById;
};

/// Stands for "no bound" among gaps and objectives in milliseconds.
inline constexpr double UnboundedMs = 1e9;

/// Returns the declared time in milliseconds; UnboundedMs when it is zero.
double boundMs(Duration Declared);

} // namespace banyanpick
