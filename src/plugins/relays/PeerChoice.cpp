#include "plugins/relays/PeerChoice.h"

#include <algorithm>
#include <vector>

namespace banyanpick {

UpstreamId forwardTarget(const HostId &Host) {
  return UpstreamId("host/" + Host.Value);
}

const Member *choosePeer(std::span<const Member> Peers, const ZoneId &Zone,
                         std::span<const UpstreamId> Excluded, Random &Rng) {
  std::vector<const Member *> InZone;
  std::vector<const Member *> All;
  for (const Member &Peer : Peers) {
    const bool Serves =
        Peer.State == MemberState::Alive && Peer.Ready && !Peer.CutOff;
    if (!Serves ||
        std::ranges::count(Excluded, forwardTarget(Peer.Listing.Id)) > 0)
      continue;
    All.push_back(&Peer);
    if (Peer.Listing.Zone == Zone)
      InZone.push_back(&Peer);
  }
  const auto &Candidates = InZone.empty() ? All : InZone;
  return Candidates.empty() ? nullptr
                            : Candidates[Rng.below(Candidates.size())];
}

} // namespace banyanpick
