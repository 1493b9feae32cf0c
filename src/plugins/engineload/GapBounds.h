/// \file
/// How long the answers of a service may pause at the least.
#pragma once

#include "gateway/RouteTable.h"

#include <map>

namespace banyanpick {

/// The shortest pause that routes to each service declare, kept for as long as
/// the configuration is in force: there may be hundreds of routes.
class GapBounds {
public:
  /// In milliseconds. A service whose routes declare none is bounded by its
  /// shortest objective, and one without either not at all.
  double shortestMs(const ServiceId &Service, const RouteTable &Routes);

private:
  std::uint64_t Version = 0;
  std::map<ServiceId, double> ById;
};

/// What stands for "no bound" among pauses and objectives in milliseconds.
inline constexpr double UnboundedMs = 1e9;

/// The declared time in milliseconds; unbounded when it is zero.
double boundMs(Duration Declared);

} // namespace banyanpick
