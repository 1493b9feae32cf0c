#include "plugins/membership/MemberDigests.h"

#include "base/RendezvousHash.h"

#include <fmt/format.h>

namespace banyanpick {

std::uint64_t memberDigest(const MemberUpdate &State) {
  if (State.Life == Incarnation() || State.State == MemberState::Dead)
    return 0;
  const std::string Fields =
      fmt::format("{} {} {}{}{}", State.Life.Value, State.Version,
                  State.State == MemberState::Leaving ? "leaving" : "",
                  State.Ready ? "ready" : "", State.CutOff ? "cut off" : "");
  // The lowest bit keeps the digest of a state that counts from being zero.
  return rendezvousWeight(State.Host.Value, Fields) | 1U;
}

std::size_t memberBucket(const HostId &Host, std::size_t Buckets) {
  return rendezvousWeight("member", Host.Value) & (Buckets - 1);
}

} // namespace banyanpick
