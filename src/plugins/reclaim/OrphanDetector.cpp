#include "plugins/reclaim/OrphanDetector.h"

#include <algorithm>
#include <optional>

namespace banyanpick {

namespace {

constexpr Duration FreeRetryInterval = seconds(1);

} // namespace

std::vector<HoldReport> OrphanDetector::findOrphans(const LoadReport &Report,
                                                    bool IsLeader, Time Now) {
  std::map<HoldKey, HoldState> &Previous = this->Engines[Report.Id];
  std::map<HoldKey, HoldState> Present;
  std::vector<HoldReport> Result;
  for (const HoldReport &Hold : Report.Holds) {
    const HoldKey Key{Hold.Kind, Hold.OwnerLife, Hold.Sequence};
    const auto Found = Previous.find(Key);
    HoldState State = Found == Previous.end() ? HoldState{Now} : Found->second;
    const auto GracePeriod = this->gracePeriod(Hold, State, IsLeader, Now);
    State.OrphanSince = GracePeriod ? std::min(State.OrphanSince, Now) : Never;
    const bool ShouldFree = GracePeriod &&
                            Now >= State.OrphanSince + *GracePeriod &&
                            Now >= State.NextAttemptAt;
    if (ShouldFree) {
      State.NextAttemptAt = Now + FreeRetryInterval;
      Result.push_back(Hold);
    }
    Present.emplace(Key, State);
  }
  Previous = std::move(Present);
  return Result;
}

std::optional<Duration> OrphanDetector::gracePeriod(const HoldReport &Hold,
                                                    const HoldState &State,
                                                    bool IsLeader,
                                                    Time Now) const {
  const Incarnation Life(Hold.OwnerLife);
  if (Life == this->Views.Members->selfLife()) {
    if (this->isUnknownHere(Hold))
      return this->GracePeriods.Owner;
    return std::nullopt;
  }
  if (!IsLeader)
    return std::nullopt;
  // Freeing is always safe after the deadline.
  if (Now >= Hold.Deadline)
    return this->GracePeriods.Deadline;
  return this->peerGracePeriod(Hold, State);
}

bool OrphanDetector::isUnknownHere(const HoldReport &Hold) const {
  const Incarnation Life(Hold.OwnerLife);
  if (Hold.Kind == HoldKind::Stream)
    return !this->Views.Requests->owner(AttemptId{Life, Hold.Sequence});
  return this->Views.Groups &&
         !this->Views.Groups->isHeld(HoldId{Life, Hold.Sequence});
}

std::optional<Duration>
OrphanDetector::peerGracePeriod(const HoldReport &Hold,
                                const HoldState &State) const {
  const MembershipView &Members = *this->Views.Members;
  const HostId Owner(Hold.OwnerHost);
  const Incarnation Life(Hold.OwnerLife);
  // Streams of a host that stopped as planned may have been handed over. They
  // end by their deadline.
  if (Hold.Kind == HoldKind::Stream && Members.hasLeft(Owner, Life))
    return std::nullopt;
  if (Members.isDead(Owner, Life))
    return this->GracePeriods.Owner;
  if (Owner == Members.self())
    return std::nullopt;
  for (const Member &Peer : Members.peers()) {
    if (Peer.Listing.Id != Owner)
      continue;
    // The hold was reported before the host was heard under another
    // incarnation. That incarnation is the later one, and the owner's has
    // ended.
    const bool IsReplaced =
        Peer.Life != Incarnation() && Peer.Life != Life &&
        Peer.LastHeard > State.FirstReportedAt + this->GracePeriods.Owner;
    if (IsReplaced)
      return this->GracePeriods.Owner;
    return std::nullopt;
  }
  return this->GracePeriods.Unknown;
}

} // namespace banyanpick
