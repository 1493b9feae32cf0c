#include "plugins/enginelimits/HeldQuota.h"

#include <algorithm>

namespace banyanpick {

std::uint32_t HeldQuota::count(Time Now) const {
  std::uint32_t Sum = 0;
  for (const HeldLease &Lease : this->Leases)
    Sum += Now < Lease.Until ? Lease.Count : 0;
  return Sum;
}

bool HeldQuota::use(Time Now) {
  HeldLease *First = nullptr;
  for (HeldLease &Lease : this->Leases)
    if (Now < Lease.Until && (!First || Lease.Until < First->Until))
      First = &Lease;
  if (!First)
    return false;
  --First->Count;
  std::erase_if(this->Leases,
                [](const HeldLease &Lease) { return Lease.Count == 0; });
  return true;
}

std::vector<HeldLease> HeldQuota::takeExpired(Time Now) {
  std::vector<HeldLease> Result;
  std::erase_if(this->Leases, [&](const HeldLease &Lease) {
    if (Now < Lease.Until)
      return false;
    Result.push_back(Lease);
    return true;
  });
  return Result;
}

Time HeldQuota::nextExpiry() const {
  Time Result = Never;
  for (const HeldLease &Lease : this->Leases)
    Result = std::min(Result, Lease.Until);
  return Result;
}

} // namespace banyanpick
