#include "plugins/reclaim/OrphanWatch.h"

#include <algorithm>
#include <optional>

namespace banyanpick {

namespace {

constexpr Duration FreeAgainAfter = seconds(1);

} // namespace

std::vector<HoldReport> OrphanWatch::judge(const LoadReport &Report,
                                           bool IsSteward, Time Now) {
  std::map<Key, Seen> &Before = this->Engines[Report.Id];
  std::map<Key, Seen> Present;
  std::vector<HoldReport> Result;
  for (const HoldReport &Hold : Report.Holds) {
    const Key Name{Hold.Kind, Hold.OwnerLife, Hold.Sequence};
    const auto Found = Before.find(Name);
    Seen Record = Found == Before.end() ? Seen{Now} : Found->second;
    const auto Grace = this->graceOf(Hold, Record, IsSteward, Now);
    Record.OrphanSince = Grace ? std::min(Record.OrphanSince, Now) : Never;
    const bool Free =
        Grace && Now >= Record.OrphanSince + *Grace && Now >= Record.NextTry;
    if (Free) {
      Record.NextTry = Now + FreeAgainAfter;
      Result.push_back(Hold);
    }
    Present.emplace(Name, Record);
  }
  Before = std::move(Present);
  return Result;
}

std::optional<Duration> OrphanWatch::graceOf(const HoldReport &Hold,
                                             const Seen &Record, bool IsSteward,
                                             Time Now) const {
  const Incarnation Life(Hold.OwnerLife);
  if (Life == this->Judges.Members->selfLife()) {
    if (this->isUnknownHere(Hold))
      return this->Graces.Owner;
    return std::nullopt;
  }
  if (!IsSteward)
    return std::nullopt;
  // Past the deadline freeing is always safe.
  if (Now >= Hold.Deadline)
    return this->Graces.Deadline;
  return this->graceOfPeer(Hold, Record);
}

bool OrphanWatch::isUnknownHere(const HoldReport &Hold) const {
  const Incarnation Life(Hold.OwnerLife);
  if (Hold.Kind == HoldKind::Stream)
    return !this->Judges.Requests->owner(AttemptId{Life, Hold.Sequence});
  return this->Judges.Groups &&
         !this->Judges.Groups->isHeld(HoldId{Life, Hold.Sequence});
}

std::optional<Duration> OrphanWatch::graceOfPeer(const HoldReport &Hold,
                                                 const Seen &Record) const {
  const MembershipView &Members = *this->Judges.Members;
  const HostId Owner(Hold.OwnerHost);
  const Incarnation Life(Hold.OwnerLife);
  // Streams of a planned stop may have been handed over; they end by their
  // deadline.
  if (Hold.Kind == HoldKind::Stream && Members.hasLeft(Owner, Life))
    return std::nullopt;
  if (Members.isDead(Owner, Life))
    return this->Graces.Owner;
  if (Owner == Members.self())
    return std::nullopt;
  for (const Member &Each : Members.peers()) {
    if (Each.Listing.Id != Owner)
      continue;
    // The hold was seen before the host was heard as another life: that life
    // is the later one, and the owner's is over.
    const bool Replaced = Each.Life != Incarnation() && Each.Life != Life &&
                          Each.LastHeard > Record.FirstAt + this->Graces.Owner;
    if (Replaced)
      return this->Graces.Owner;
    return std::nullopt;
  }
  return this->Graces.Unknown;
}

} // namespace banyanpick
