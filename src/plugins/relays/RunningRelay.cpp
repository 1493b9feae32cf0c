#include "plugins/relays/RunningRelay.h"

namespace banyanpick {

RunningRelay &RunningRelays::add(RunningRelay Relay) {
  const RequestId Id = Relay.Head.Id;
  return this->ById.insert_or_assign(Id, std::move(Relay)).first->second;
}

RunningRelay *RunningRelays::find(const RequestId &Id) {
  const auto Found = this->ById.find(Id);
  return Found == this->ById.end() ? nullptr : &Found->second;
}

RunningRelay *RunningRelays::findByAttempt(const AttemptId &Attempt) {
  const auto Found = this->ByAttempt.find(Attempt);
  return Found == this->ByAttempt.end() ? nullptr : this->find(Found->second);
}

void RunningRelays::link(const AttemptId &Attempt, const RequestId &Id) {
  this->ByAttempt[Attempt] = Id;
}

void RunningRelays::remove(const RequestId &Id) {
  const auto Found = this->ById.find(Id);
  if (Found == this->ById.end())
    return;
  if (Found->second.LiveAttempt)
    this->ByAttempt.erase(Found->second.LiveAttempt->Id);
  this->ById.erase(Found);
}

std::vector<RequestId> RunningRelays::ids() const {
  std::vector<RequestId> Result;
  Result.reserve(this->ById.size());
  for (const auto &[Id, Relay] : this->ById)
    Result.push_back(Id);
  return Result;
}

} // namespace banyanpick
