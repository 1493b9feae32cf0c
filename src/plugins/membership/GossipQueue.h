/// \file
/// Queues membership updates that are sent with heartbeats.
#pragma once

#include "kernel/PeerMessage.h"

#include <cstddef>
#include <vector>

namespace banyanpick {

/// Attaches each update to a bounded number of heartbeats. Updates that were
/// sent the fewest times come first.
class GossipQueue {
public:
  /// Queues the update and replaces an older one for the same host.
  void add(const MemberUpdate &Update);

  /// Returns at most \p MaxUpdates updates for one heartbeat. Each update is
  /// returned \p MaxSends times in total.
  std::vector<MemberUpdate> take(std::size_t MaxUpdates,
                                 std::uint32_t MaxSends);

  std::size_t size() const { return this->Pending.size(); }

private:
  struct Item {
    MemberUpdate Update;
    std::uint32_t SendCount = 0;
  };

  std::vector<Item> Pending;
};

} // namespace banyanpick
