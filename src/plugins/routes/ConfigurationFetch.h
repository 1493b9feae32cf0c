/// \file
/// Assembles the configuration that this host fetches from its peers.
#pragma once

#include "kernel/PeerMessage.h"

#include <optional>

namespace banyanpick {

/// Fetches one packed document in chunks and requests one chunk at a time.
/// Requests to every peer that has the document would send as many copies over
/// this host's link as there are peers. If a peer does not answer, the fetch
/// continues at another peer from the same offset.
class ConfigurationFetch {
public:
  /// Whether a chunk may be requested now: no request is pending, or it has
  /// timed out.
  bool mayRequest(Time Now) const;
  /// Returns the request for the next chunk of a version above \p NewerThan.
  ConfigurationRequest makeRequest(std::uint64_t NewerThan, Time Now);

  /// The state of the fetch after a chunk.
  struct Progress {
    bool NeedsNextChunk = false; ///< To be requested from the same peer.
    std::optional<std::string> Document; ///< Packed; set when complete.
  };
  /// Appends the chunk if it is the next one.
  Progress addChunk(const ConfigurationRelayed &Chunk, Time Now);

private:
  std::uint64_t Version = 0; ///< 0: no chunk received yet.
  std::string Bytes;
  Time RequestedAt = Never; ///< Never: no request is pending.
};

} // namespace banyanpick
