/// \file
/// This host's share of the prefill capacity of the fleet.
#pragma once

#include "kernel/Services.h"

#include <unordered_map>

namespace banyanpick {

/// Divides the prefill capacity of all live engines of a model among the live
/// entry hosts. The result is cached for Lifetime, because the computation
/// visits all engines of the model.
class CapacityShare {
public:
  /// Returns the share in tokens per second.
  double hostShare(const ModelId &Model, const FleetView &Fleet,
                   const MembershipView &Members, Time Now);

private:
  struct CachedShare {
    Time UpdatedAt{};
    double Share = 0;
  };
  static constexpr Duration Lifetime = milliseconds(100);

  std::unordered_map<ModelId, CachedShare> ByModel;
};

} // namespace banyanpick
