#include "plugins/fleet/EngineFollowers.h"

#include "base/RendezvousHash.h"

#include <algorithm>

namespace banyanpick {

namespace {

bool ranksBefore(const UpstreamId &Engine, const HostId &First,
                 const HostId &Second) {
  const std::uint64_t FirstWeight = rendezvousWeight(Engine.Value, First.Value);
  const std::uint64_t SecondWeight =
      rendezvousWeight(Engine.Value, Second.Value);
  if (FirstWeight != SecondWeight)
    return FirstWeight > SecondWeight;
  return First < Second;
}

} // namespace

bool EngineFollowers::update(const MembershipView &Members) {
  std::vector<HostId> Next;
  for (const Member &Peer : Members.peers()) {
    const bool Stays =
        Peer.State == MemberState::Alive || Peer.State == MemberState::Suspect;
    if (Stays && Peer.Life != Incarnation() &&
        Peer.Listing.Zone == Members.selfZone())
      Next.push_back(Peer.Listing.Id);
  }
  const bool Changed = this->Self != Members.self() || Next != this->Others;
  this->Self = Members.self();
  this->Others = std::move(Next);
  return Changed;
}

std::size_t EngineFollowers::ownRank(const UpstreamId &Engine) const {
  return std::ranges::count_if(this->Others, [&](const HostId &Host) {
    return ranksBefore(Engine, Host, this->Self);
  });
}

bool EngineFollowers::isStandIn(const UpstreamId &Engine,
                                const MembershipView &Members) const {
  return std::ranges::none_of(Members.peers(), [&](const Member &Peer) {
    return Peer.State == MemberState::Alive &&
           Peer.Listing.Zone == Members.selfZone() &&
           ranksBefore(Engine, Peer.Listing.Id, this->Self);
  });
}

} // namespace banyanpick
