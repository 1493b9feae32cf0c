/// \file
#include "plugins/claims/ClaimTable.h"

#include "plugins/claims/OperationKeyTime.h"

namespace banyanpick {

ClaimJudgement ClaimTable::take(const RecordId &Id, const ClaimRecord &Claim) {
  const auto CreatedAt = creationTime(Claim.Key);
  if (!CreatedAt || Id.Maker != Claim.OwnerLife)
    return ClaimJudgement::Void;
  const OperationName Name{Claim.Team, Claim.Key};
  ClaimedOperation &Operation = this->Known[Name];
  Operation.CreatedAt = *CreatedAt;
  this->ByAge.emplace(*CreatedAt, Name);
  if (!Operation.Judged.insert(Id).second)
    return ClaimJudgement::Void;
  if (Operation.Owner)
    return ClaimJudgement::Lost;
  Operation.Owner = ClaimOwner{Id, Claim.Owner, Claim.Content};
  return ClaimJudgement::Owns;
}

void ClaimTable::take(const OutcomeRecord &Outcome) {
  const auto Found = this->Known.find({Outcome.Team, Outcome.Key});
  if (Found == this->Known.end())
    return;
  ClaimedOperation &Operation = Found->second;
  const RecordId Named{Outcome.OwnerLife, Outcome.ClaimSequence};
  if (!Operation.Owner || Operation.Owner->Claim != Named || Operation.Outcome)
    return;
  if (Outcome.Ended == OutcomeRecord::Kind::Released)
    Operation.Owner.reset();
  else
    Operation.Outcome = ClaimOutcome{Outcome.Ended, Outcome.Result};
}

void ClaimTable::prune(Time Oldest) {
  while (!this->ByAge.empty() && this->ByAge.begin()->first < Oldest) {
    this->Known.erase(this->ByAge.begin()->second);
    this->ByAge.erase(this->ByAge.begin());
  }
}

const ClaimedOperation *ClaimTable::find(const OperationName &Name) const {
  const auto Found = this->Known.find(Name);
  return Found == this->Known.end() ? nullptr : &Found->second;
}

} // namespace banyanpick
