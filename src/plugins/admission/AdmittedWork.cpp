#include "plugins/admission/AdmittedWork.h"

#include <algorithm>

namespace banyanpick {

void AdmittedWork::add(const RequestId &Id, std::uint32_t Urgency,
                       std::uint64_t Tokens) {
  const std::uint32_t Bounded = std::min(Urgency, Urgencies - 1);
  this->remove(Id);
  this->Waiting[Id] = {Bounded, Tokens};
  this->Sums[Bounded] += Tokens;
}

void AdmittedWork::remove(const RequestId &Id) {
  const auto Found = this->Waiting.find(Id);
  if (Found == this->Waiting.end())
    return;
  this->Sums[Found->second.Urgency] -= Found->second.Tokens;
  this->Waiting.erase(Found);
}

std::uint64_t AdmittedWork::ahead(std::uint32_t Urgency) const {
  std::uint64_t Tokens = 0;
  for (std::uint32_t Level = std::min(Urgency, Urgencies - 1);
       Level < Urgencies; ++Level)
    Tokens += this->Sums[Level];
  return Tokens;
}

} // namespace banyanpick
