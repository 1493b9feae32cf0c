/// \file
/// Queues membership updates that are sent with heartbeats.
#pragma once

#include "kernel/PeerMessage.h"

#include <cstddef>
#include <vector>

namespace banyanpick {

/// Attaches each update to a bounded number of heartbeats. Updates that were
/// sent the fewest times come first. The number of queued updates is bounded,
/// too: when hundreds of hosts change at once, comparing digests (MemberSync)
/// costs less than sending each change to all hosts many times.
class GossipQueue {
public:
  /// Queues the update and replaces an older one for the same host.
  void add(const MemberUpdate &Update);
  /// Notes that a peer sent the update, too. One that several peers already
  /// know is not sent any more.
  void noteHeard(const MemberUpdate &Update);

  /// Returns at most \p MaxUpdates updates for one heartbeat. Each update is
  /// returned \p MaxSends times in total.
  std::vector<MemberUpdate> take(std::size_t MaxUpdates,
                                 std::uint32_t MaxSends);

  std::size_t size() const { return this->Pending.size(); }

private:
  struct Item {
    MemberUpdate Update;
    std::uint32_t SendCount = 0;
    std::uint32_t HeardCount = 0; ///< Peers that sent it.
  };

  std::vector<Item> Pending;
};

} // namespace banyanpick
