/// \file
#include "plugins/log/BestPeer.h"

#include <tuple>

namespace banyanpick {

const Member *bestPeer(const MembershipView &Members) {
  const auto Rank = [](const Member &Peer) {
    return std::tuple(Peer.InForce, Peer.LogConfirmedAt);
  };
  const Member *Best = nullptr;
  for (const Member &Peer : Members.peers()) {
    if (!Peer.Ready || Peer.State == MemberState::Dead)
      continue;
    if (!Best || Rank(Peer) > Rank(*Best))
      Best = &Peer;
  }
  return Best;
}

} // namespace banyanpick
