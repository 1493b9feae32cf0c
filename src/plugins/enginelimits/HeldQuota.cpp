#include "plugins/enginelimits/HeldQuota.h"

#include <algorithm>

namespace banyanpick {

std::uint32_t HeldQuota::count(Time Now) const {
  std::uint32_t Sum = 0;
  for (const HeldLease &Each : this->Loans)
    Sum += Now < Each.Until ? Each.Count : 0;
  return Sum;
}

bool HeldQuota::use(Time Now) {
  HeldLease *First = nullptr;
  for (HeldLease &Each : this->Loans)
    if (Now < Each.Until && (!First || Each.Until < First->Until))
      First = &Each;
  if (!First)
    return false;
  --First->Count;
  std::erase_if(this->Loans,
                [](const HeldLease &Each) { return Each.Count == 0; });
  return true;
}

std::vector<HeldLease> HeldQuota::takeExpired(Time Now) {
  std::vector<HeldLease> Result;
  std::erase_if(this->Loans, [&](const HeldLease &Each) {
    if (Now < Each.Until)
      return false;
    Result.push_back(Each);
    return true;
  });
  return Result;
}

Time HeldQuota::nextExpiry() const {
  Time Result = Never;
  for (const HeldLease &Each : this->Loans)
    Result = std::min(Result, Each.Until);
  return Result;
}

} // namespace banyanpick
