#include "plugins/relays/RunningRelay.h"

namespace banyanpick {

RunningRelay &RunningRelays::add(RunningRelay Each) {
  const RequestId Id = Each.Head.Id;
  return this->ById.insert_or_assign(Id, std::move(Each)).first->second;
}

RunningRelay *RunningRelays::find(const RequestId &Id) {
  const auto Found = this->ById.find(Id);
  return Found == this->ById.end() ? nullptr : &Found->second;
}

RunningRelay *RunningRelays::owner(const AttemptId &Attempt) {
  const auto Found = this->ByTry.find(Attempt);
  return Found == this->ByTry.end() ? nullptr : this->find(Found->second);
}

void RunningRelays::link(const AttemptId &Attempt, const RequestId &Id) {
  this->ByTry[Attempt] = Id;
}

void RunningRelays::remove(const RequestId &Id) {
  const auto Found = this->ById.find(Id);
  if (Found == this->ById.end())
    return;
  if (Found->second.Live)
    this->ByTry.erase(Found->second.Live->Id);
  this->ById.erase(Found);
}

std::vector<RequestId> RunningRelays::ids() const {
  std::vector<RequestId> Result;
  Result.reserve(this->ById.size());
  for (const auto &[Id, Each] : this->ById)
    Result.push_back(Id);
  return Result;
}

} // namespace banyanpick
