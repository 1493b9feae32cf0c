#include "kernel/ServingHosts.h"

namespace banyanpick {

ServingHosts::ServingHosts(const Catalogue &Entries,
                           const MembershipView &Members)
    : Entries(Entries), Self(Members.self()) {
  this->Live.push_back({Members.self(), Members.selfZone()});
  for (const Member &Peer : Members.peers()) {
    if (Peer.State == MemberState::Alive || Peer.State == MemberState::Suspect)
      this->Live.push_back({Peer.Listing.Id, Peer.Listing.Zone});
  }
}

std::vector<HostId> ServingHosts::of(const TeamId &Team) const {
  const TeamEntry *Limits = this->Entries.team(Team);
  if (!Limits)
    return {};
  return teamHosts(Team, *Limits, this->Live);
}

std::vector<HostId> ServingHosts::peersOf(const TeamId &Team) const {
  std::vector<HostId> Hosts = this->of(Team);
  std::erase(Hosts, this->Self);
  return Hosts;
}

} // namespace banyanpick
