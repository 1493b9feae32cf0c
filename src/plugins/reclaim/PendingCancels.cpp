#include "plugins/reclaim/PendingCancels.h"

#include <algorithm>

namespace banyanpick {

namespace {

constexpr Duration InitialRetryDelay = milliseconds(250);
constexpr Duration MaxRetryDelay = seconds(4);
constexpr Duration ExpiryAfterDeadline = seconds(60);
constexpr std::size_t MaxCancels = 4096;

} // namespace

void PendingCancels::add(const AttemptId &Id, const Upstream &Target,
                         Time Deadline, Time Now, Actions &Out) {
  this->erase(Id);
  if (this->Cancels.size() >= MaxCancels) {
    this->erase(this->Schedule.begin()->second);
    Out.count("cancels_dropped");
  }
  PendingCancel &Cancel = this->Cancels[Id];
  Cancel = {Target.Listing.Id, Target.Listing.Life,
            std::max(Deadline, Now) + ExpiryAfterDeadline, Now,
            InitialRetryDelay};
  this->schedule(Id, Cancel, Now);
  Out.add(CancelAttempt{Id, Cancel.Target, Target.Listing.At});
}

void PendingCancels::confirm(const AttemptId &Id) { this->erase(Id); }

void PendingCancels::noteIncarnation(const UpstreamId &Target,
                                     Incarnation Life) {
  for (const AttemptId &Id : this->ids()) {
    const PendingCancel &Cancel = this->Cancels.at(Id);
    if (Cancel.Target == Target && Cancel.Life != Life)
      this->erase(Id);
  }
}

void PendingCancels::resendDue(const FleetView &Fleet, Time Now, Actions &Out) {
  while (this->nextDue() <= Now) {
    const AttemptId Id = this->Schedule.begin()->second;
    PendingCancel &Cancel = this->Cancels.at(Id);
    const Upstream *Target = Fleet.find(Cancel.Target);
    if (!Target || Cancel.ExpiresAt <= Now) {
      Out.count("cancels_given_up");
      this->erase(Id);
      continue;
    }
    this->Schedule.erase({Cancel.NextAttemptAt, Id});
    Cancel.RetryDelay = std::min(Cancel.RetryDelay * 2, MaxRetryDelay);
    this->schedule(Id, Cancel, Now);
    Out.add(CancelAttempt{Id, Cancel.Target, Target->Listing.At});
  }
}

Time PendingCancels::nextDue() const {
  return this->Schedule.empty() ? Never : this->Schedule.begin()->first;
}

std::vector<AttemptId> PendingCancels::ids() const {
  std::vector<AttemptId> Result;
  Result.reserve(this->Cancels.size());
  for (const auto &[Id, Cancel] : this->Cancels)
    Result.push_back(Id);
  return Result;
}

void PendingCancels::erase(const AttemptId &Id) {
  const auto Found = this->Cancels.find(Id);
  if (Found == this->Cancels.end())
    return;
  this->Schedule.erase({Found->second.NextAttemptAt, Id});
  this->Cancels.erase(Found);
}

void PendingCancels::schedule(const AttemptId &Id, PendingCancel &Cancel,
                              Time Now) {
  Cancel.NextAttemptAt = Now + Cancel.RetryDelay;
  this->Schedule.emplace(Cancel.NextAttemptAt, Id);
}

} // namespace banyanpick
