/// \file
#include "plugins/catalogue/CatalogueFreshness.h"

namespace banyanpick {

namespace {

/// A process that handled no event for this long was paused. Messages that
/// arrived during the pause are handled within the same time after it.
constexpr Duration PauseLimit = seconds(1);

} // namespace

void CatalogueFreshness::handleHeartbeat(const Heartbeat &Beat,
                                         LogOffset Offset, Time Now) {
  if (Beat.InForce > Offset)
    this->LastCurrentAt = Time{};
  if (!Beat.Ready || Beat.InForce > Offset)
    return;
  this->confirm(std::min(Beat.LogConfirmedAt, Now));
  if (Now >= this->IgnoreHeartbeatsUntil)
    this->LastCurrentAt = Now;
}

void CatalogueFreshness::update(const MembershipView *Members, Time Now) {
  if (this->UpdatedAt != Time{} && Now > this->UpdatedAt + PauseLimit) {
    this->LastCurrentAt = Time{};
    this->IgnoreHeartbeatsUntil = Now + PauseLimit;
  }
  this->UpdatedAt = Now;
  if (this->isCurrent(Members, Now))
    this->LastCurrentAt = Now;
}

bool CatalogueFreshness::isCurrent(const MembershipView *Members,
                                   Time Now) const {
  if (this->ConfirmedAt == Time{})
    return false;
  if (Now <= this->ConfirmedAt + this->Window)
    return true;
  if (this->LastCurrentAt == Time{} || Now > this->LastCurrentAt + this->Window)
    return false;
  return !Members || this->isLogUnreachableForAll(*Members, Now);
}

bool CatalogueFreshness::hearsMajority(const MembershipView *Members,
                                       Time Now) const {
  if (!Members)
    return true;
  if (!Members->knowsHosts())
    return false;
  std::size_t KnownCount = 1;
  std::size_t HeardCount = 1;
  for (const Member &Peer : Members->peers()) {
    if (Peer.State == MemberState::Leaving)
      continue;
    ++KnownCount;
    if (Now <= Peer.LastHeard + this->Window)
      ++HeardCount;
  }
  return HeardCount * 2 > KnownCount;
}

bool CatalogueFreshness::isLogUnreachableForAll(const MembershipView &Members,
                                                Time Now) const {
  if (!this->hearsMajority(&Members, Now))
    return false;
  const auto ReachesLog = [&](const Member &Peer) {
    const bool IsHeard = Now <= Peer.LastHeard + this->Window;
    return IsHeard && Now <= Peer.LogConfirmedAt + this->Window;
  };
  const auto Peers = Members.peers();
  return std::none_of(Peers.begin(), Peers.end(), ReachesLog);
}

} // namespace banyanpick
