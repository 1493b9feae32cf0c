/// \file
/// The configuration that this host is fetching from its peers.
#pragma once

#include "kernel/PeerMessage.h"

#include <optional>

namespace banyanpick {

/// Fetches one packed document in pieces, of which one is under way at a time:
/// asking every peer that has it would bring as many copies over this host's
/// link as there are peers. A peer that does not answer is followed by another,
/// which goes on where the first left off.
class ConfigurationFetch {
public:
  /// Whether a peer should be asked now: no piece is under way, or it has not
  /// come in a while.
  bool mayRequest(Time Now) const;
  /// What to ask a peer for next.
  ConfigurationRequest makeRequest(std::uint64_t NewerThan, Time Now);

  /// How far a piece has brought it.
  struct Progress {
    bool NeedsNextChunk = false; ///< Ask the same peer for the next one.
    std::optional<std::string> Document; ///< Packed, when it is whole.
  };
  Progress addChunk(const ConfigurationRelayed &Chunk, Time Now);

private:
  std::uint64_t Version = 0; ///< 0: no piece has come yet.
  std::string Bytes;
  Time RequestedAt = Never; ///< Never: nothing is under way.
};

} // namespace banyanpick
