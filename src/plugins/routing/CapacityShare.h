/// \file
/// This host's share of the fleet's prefill.
#pragma once

#include "kernel/Services.h"

#include <unordered_map>

namespace banyanpick {

/// The prefill of all live engines of a model, divided among the entry hosts
/// that live. Judged again every so often, since it walks the fleet.
class CapacityShare {
public:
  /// Tokens a second.
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
