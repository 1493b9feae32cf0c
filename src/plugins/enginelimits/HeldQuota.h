/// \file
/// The room at one engine that this host has borrowed.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace banyanpick {

/// Room that may be used until its time is over.
struct HeldLease {
  std::uint64_t Number = 0; ///< Of the ask that it was lent for.
  std::uint32_t Count = 0;
  Time Until{};
};

/// What was lent and not used yet.
class HeldQuota {
public:
  void add(const HeldLease &Lent) { this->Loans.push_back(Lent); }
  /// Requests that may be sent now.
  std::uint32_t count(Time Now) const;
  /// Uses room for one request, that which ends first; false when there is
  /// none.
  bool use(Time Now);
  /// Takes out what was not used in its time.
  std::vector<HeldLease> takeExpired(Time Now);
  void clear() { this->Loans.clear(); }
  /// When the first of it lapses; Never when nothing is held.
  Time nextExpiry() const;

private:
  std::vector<HeldLease> Loans;
};

} // namespace banyanpick
