/// \file
#include "plugins/claims/ClaimTable.h"

#include "plugins/claims/OperationKeyTime.h"

namespace banyanpick {

ClaimFoldResult ClaimTable::fold(const RecordId &Id, const ClaimRecord &Claim) {
  const auto CreatedAt = creationTime(Claim.Key);
  if (!CreatedAt || Id.Maker != Claim.OwnerLife)
    return ClaimFoldResult::Ignored;
  const OperationName Name{Claim.Team, Claim.Key};
  ClaimedOperation &Operation = this->Operations[Name];
  Operation.CreatedAt = *CreatedAt;
  this->ByAge.emplace(*CreatedAt, Name);
  if (!Operation.ProcessedClaims.insert(Id).second)
    return ClaimFoldResult::Ignored;
  if (Operation.Owner)
    return ClaimFoldResult::Lost;
  Operation.Owner = ClaimOwner{Id, Claim.Owner, Claim.Content};
  return ClaimFoldResult::Owns;
}

void ClaimTable::fold(const OutcomeRecord &Outcome) {
  const auto Found = this->Operations.find({Outcome.Team, Outcome.Key});
  if (Found == this->Operations.end())
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
    this->Operations.erase(this->ByAge.begin()->second);
    this->ByAge.erase(this->ByAge.begin());
  }
}

const ClaimedOperation *ClaimTable::find(const OperationName &Name) const {
  const auto Found = this->Operations.find(Name);
  return Found == this->Operations.end() ? nullptr : &Found->second;
}

} // namespace banyanpick
