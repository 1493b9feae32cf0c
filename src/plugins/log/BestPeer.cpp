/// \file
#include "plugins/log/BestPeer.h"

#include <tuple>

namespace banyanpick {

const Member *bestPeer(const MembershipView &Members) {
  const auto Rank = [](const Member &Each) {
    return std::tuple(Each.InForce, Each.LogConfirmedAt);
  };
  const Member *Best = nullptr;
  for (const Member &Each : Members.peers()) {
    if (!Each.Ready || Each.State == MemberState::Dead)
      continue;
    if (!Best || Rank(Each) > Rank(*Best))
      Best = &Each;
  }
  return Best;
}

} // namespace banyanpick
