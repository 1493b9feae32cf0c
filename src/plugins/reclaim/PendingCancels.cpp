#include "plugins/reclaim/PendingCancels.h"

#include <algorithm>

namespace banyanpick {

namespace {

constexpr Duration FirstWait = milliseconds(250);
constexpr Duration LongestWait = seconds(4);
constexpr Duration GiveUpAfterDeadline = seconds(60);
constexpr std::size_t MostItems = 4096;

} // namespace

void PendingCancels::add(const AttemptId &Id, const Upstream &Where,
                         Time Deadline, Time Now, Actions &Out) {
  this->erase(Id);
  if (this->Items.size() >= MostItems) {
    this->erase(this->Due.begin()->second);
    Out.count("cancels_dropped");
  }
  Item &Of = this->Items[Id];
  Of = {Where.Listing.Id, Where.Listing.Life,
        std::max(Deadline, Now) + GiveUpAfterDeadline, Now, FirstWait};
  this->plan(Id, Of, Now);
  Out.add(CancelAttempt{Id, Of.Where, Where.Listing.At});
}

void PendingCancels::confirm(const AttemptId &Id) { this->erase(Id); }

void PendingCancels::noteLife(const UpstreamId &Where, Incarnation Life) {
  for (const AttemptId &Id : this->ids()) {
    const Item &Each = this->Items.at(Id);
    if (Each.Where == Where && Each.Life != Life)
      this->erase(Id);
  }
}

void PendingCancels::repeat(const FleetView &Fleet, Time Now, Actions &Out) {
  while (this->nextDue() <= Now) {
    const AttemptId Id = this->Due.begin()->second;
    Item &Of = this->Items.at(Id);
    const Upstream *Where = Fleet.find(Of.Where);
    if (!Where || Of.GiveUpAt <= Now) {
      Out.count("cancels_given_up");
      this->erase(Id);
      continue;
    }
    this->Due.erase({Of.NextTry, Id});
    Of.Wait = std::min(Of.Wait * 2, LongestWait);
    this->plan(Id, Of, Now);
    Out.add(CancelAttempt{Id, Of.Where, Where->Listing.At});
  }
}

Time PendingCancels::nextDue() const {
  return this->Due.empty() ? Never : this->Due.begin()->first;
}

std::vector<AttemptId> PendingCancels::ids() const {
  std::vector<AttemptId> Result;
  Result.reserve(this->Items.size());
  for (const auto &[Id, Each] : this->Items)
    Result.push_back(Id);
  return Result;
}

void PendingCancels::erase(const AttemptId &Id) {
  const auto Found = this->Items.find(Id);
  if (Found == this->Items.end())
    return;
  this->Due.erase({Found->second.NextTry, Id});
  this->Items.erase(Found);
}

void PendingCancels::plan(const AttemptId &Id, Item &Of, Time Now) {
  Of.NextTry = Now + Of.Wait;
  this->Due.emplace(Of.NextTry, Id);
}

} // namespace banyanpick
