#include "kernel/ServingHosts.h"

namespace banyanpick {

ServingHosts::ServingHosts(const Catalogue &Entries,
                           const MembershipView &Members)
    : Entries(Entries), Self(Members.self()) {
  this->Live.push_back({Members.self(), Members.selfZone()});
  for (const Member &Each : Members.peers()) {
    if (Each.State == MemberState::Alive || Each.State == MemberState::Suspect)
      this->Live.push_back({Each.Listing.Id, Each.Listing.Zone});
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
