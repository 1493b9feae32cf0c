/// \file
/// News of members waiting to ride on heartbeats.
#pragma once

#include "kernel/PeerMessage.h"

#include <cstddef>
#include <vector>

namespace banyanpick {

/// Gives each rumour to a bounded number of heartbeats, the least told first.
class GossipQueue {
public:
  /// Queues the rumour in place of an older one on the same host.
  void add(const MemberUpdate &Update);

  /// At most \p Most rumours for one heartbeat; each is given out \p Times
  /// times in all.
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
