#include "plugins/enginelimits/RoomHeld.h"

#include <algorithm>

namespace banyanpick {

std::uint32_t RoomHeld::count(Time Now) const {
  std::uint32_t Sum = 0;
  for (const HeldRoom &Each : this->Loans)
    Sum += Now < Each.Until ? Each.Count : 0;
  return Sum;
}

bool RoomHeld::use(Time Now) {
  HeldRoom *First = nullptr;
  for (HeldRoom &Each : this->Loans)
    if (Now < Each.Until && (!First || Each.Until < First->Until))
      First = &Each;
  if (!First)
    return false;
  --First->Count;
  std::erase_if(this->Loans,
                [](const HeldRoom &Each) { return Each.Count == 0; });
  return true;
}

std::vector<HeldRoom> RoomHeld::takeLapsed(Time Now) {
  std::vector<HeldRoom> Result;
  std::erase_if(this->Loans, [&](const HeldRoom &Each) {
    if (Now < Each.Until)
      return false;
    Result.push_back(Each);
    return true;
  });
  return Result;
}

Time RoomHeld::nextLapse() const {
  Time Result = Never;
  for (const HeldRoom &Each : this->Loans)
    Result = std::min(Result, Each.Until);
  return Result;
}

} // namespace banyanpick
