/// \file
/// Decides which peer gets the next chunk of the configuration from this host.
#pragma once

#include "kernel/PeerMessage.h"

#include <optional>
#include <vector>

namespace banyanpick {

/// Queues the peers' requests for chunks and bounds the send rate, so that a
/// document that many hosts lack does not fill the link. The peer that has most
/// of the document is served first, because it can relay it soonest. Among
/// equal peers, the one that has waited longest is first.
class ChunkQueue {
public:
  ChunkQueue() = default;
  /// \p BytesPerSecond must be positive.
  explicit ChunkQueue(double BytesPerSecond) : Rate(BytesPerSecond) {}

  /// A peer's request that has not been answered.
  struct PendingRequest {
    HostId Peer;
    ConfigurationRequest Request;
    Time RequestedAt{};
  };
  /// Adds a request; it replaces an earlier one of the peer.
  void add(const HostId &Peer, const ConfigurationRequest &Request, Time Now);
  /// Removes and returns the request to answer now, if a chunk may be sent.
  std::optional<PendingRequest> next(Time Now);
  /// Called when a chunk of \p Bytes was sent.
  void recordSent(std::size_t Bytes, Time Now);
  /// Returns when a chunk may be sent, or Never if no request is pending.
  Time nextSendTime() const;

private:
  double Rate = 0;
  Time NextSendAt{};
  std::vector<PendingRequest> Waiting; ///< In order of first request.
};

} // namespace banyanpick
