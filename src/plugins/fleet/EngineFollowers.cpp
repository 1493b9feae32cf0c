#include "plugins/fleet/EngineFollowers.h"

#include "base/RendezvousHash.h"

#include <algorithm>

namespace banyanpick {

namespace {

bool goesBefore(const UpstreamId &Of, const HostId &First,
                const HostId &Second) {
  const std::uint64_t FirstWeight = rendezvousWeight(Of.Value, First.Value);
  const std::uint64_t SecondWeight = rendezvousWeight(Of.Value, Second.Value);
  if (FirstWeight != SecondWeight)
    return FirstWeight > SecondWeight;
  return First < Second;
}

} // namespace

bool EngineFollowers::update(const MembershipView &Members) {
  std::vector<HostId> Next;
  for (const Member &Each : Members.peers()) {
    const bool Stays =
        Each.State == MemberState::Alive || Each.State == MemberState::Suspect;
    if (Stays && Each.Life != Incarnation() &&
        Each.Listing.Zone == Members.selfZone())
      Next.push_back(Each.Listing.Id);
  }
  const bool Changed = this->Self != Members.self() || Next != this->Others;
  this->Self = Members.self();
  this->Others = std::move(Next);
  return Changed;
}

std::size_t EngineFollowers::ownRank(const UpstreamId &Of) const {
  return std::ranges::count_if(this->Others, [&](const HostId &Each) {
    return goesBefore(Of, Each, this->Self);
  });
}

bool EngineFollowers::standsIn(const UpstreamId &Of,
                               const MembershipView &Members) const {
  return std::ranges::none_of(Members.peers(), [&](const Member &Each) {
    return Each.State == MemberState::Alive &&
           Each.Listing.Zone == Members.selfZone() &&
           goesBefore(Of, Each.Listing.Id, this->Self);
  });
}

} // namespace banyanpick
