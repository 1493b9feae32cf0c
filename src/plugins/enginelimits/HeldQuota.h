/// \file
/// The quota of one engine that this host has leased.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace banyanpick {

/// Quota that may be used until the lease expires.
struct HeldLease {
  std::uint64_t Number = 0; ///< Number of the request that the lease answers.
  std::uint32_t Count = 0;
  Time Until{};
};

/// The unused part of this host's leases.
class HeldQuota {
public:
  void add(const HeldLease &Lease) { this->Leases.push_back(Lease); }
  /// Returns how many requests may be sent now.
  std::uint32_t count(Time Now) const;
  /// Uses quota for one request, from the lease that expires first. Returns
  /// false when there is none.
  bool use(Time Now);
  /// Removes and returns expired leases.
  std::vector<HeldLease> takeExpired(Time Now);
  void clear() { this->Leases.clear(); }
  /// Returns when the first lease expires; Never when none is held.
  Time nextExpiry() const;

private:
  std::vector<HeldLease> Leases;
};

} // namespace banyanpick
