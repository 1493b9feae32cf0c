#include "plugins/enginememory/MemoryUse.h"

namespace banyanpick {

void MemoryUse::note(bool IsInUse, Time Now) {
  if (IsInUse) {
    this->WasUsed = true;
    this->UnusedSince.reset();
  } else if (this->WasUsed && !this->UnusedSince) {
    this->UnusedSince = Now;
  }
}

Time MemoryUse::idleAt(const MemoryUseLimits &Limits) const {
  if (!this->WasUsed)
    return this->ReservedAt + Limits.BeforeUse;
  return this->UnusedSince ? *this->UnusedSince + Limits.AfterUse : Never;
}

} // namespace banyanpick
