/// \file
/// News of members waiting to ride on heartbeats.
#pragma once

#include "kernel/PeerMessage.h"

#include <cstddef>
#include <vector>

namespace banyanpick {

/// Gives each rumour to a bounded number of heartbeats, the least told first.
class RumourQueue {
public:
  /// Queues the rumour in place of an older one on the same host.
  void add(const MemberUpdate &News);

  /// At most \p Most rumours for one heartbeat; each is given out \p Times
  /// times in all.
  std::vector<MemberUpdate> take(std::size_t Most, std::uint32_t Times);

  std::size_t size() const { return this->Waiting.size(); }

private:
  struct Item {
    MemberUpdate News;
    std::uint32_t Told = 0;
  };

  std::vector<Item> Waiting;
};

} // namespace banyanpick
