/// \file
/// Which peer gets the next piece of the configuration from this host.
#pragma once

#include "kernel/PeerMessage.h"

#include <optional>
#include <vector>

namespace banyanpick {

/// Gives out pieces at a bounded rate, so that a document which many hosts lack
/// leaves room on the link. Who has most of it goes first, as it can pass it on
/// soonest; among equals, who has waited longest.
class ChunkQueue {
public:
  ChunkQueue() = default;
  /// \p BytesPerSecond: positive.
  explicit ChunkQueue(double BytesPerSecond) : Rate(BytesPerSecond) {}

  struct PendingRequest {
    HostId Peer;
    ConfigurationRequest Request;
    Time RequestedAt{};
  };
  /// Replaces what the peer asked before.
  void add(const HostId &Peer, const ConfigurationRequest &Request, Time Now);
  /// Who gets a piece now, if one may be sent.
  std::optional<PendingRequest> next(Time Now);
  /// A piece of so many bytes was sent.
  void recordSent(std::size_t Bytes, Time Now);
  /// When one may be sent; Never when nobody waits.
  Time nextSendTime() const;

private:
  double Rate = 0;
  Time NextSendAt{};
  std::vector<PendingRequest> Waiting; ///< In the order in which they asked.
};

} // namespace banyanpick
