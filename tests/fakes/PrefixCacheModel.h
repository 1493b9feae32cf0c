/// \file
/// The prefix cache of a simulated engine. It keeps blocks in least recently
/// used order within the free memory and records cache events.
#pragma once

#include "kernel/Request.h"
#include "kernel/Upstream.h"

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace banyanpick {

/// An LRU cache of the prompt blocks of one engine.
class PrefixCacheModel {
public:
  /// Returns the number of cached tokens at the start of the prompt, and marks
  /// their blocks as used.
  std::uint64_t cachedTokens(std::span<const BlockHash> Blocks);

  /// Stores the blocks. Blocks that are already cached are marked as used.
  void store(std::span<const BlockHash> Blocks, Time Now);

  /// Evicts the least recently used blocks until at most \p Tokens are cached.
  void shrinkTo(std::uint64_t Tokens, Time Now);

  /// Returns the events after \p Sequence that occurred by \p Until. Only the
  /// latest MaxEvents are kept, so a slow reader sees a gap.
  std::vector<CacheEvent> eventsAfter(std::uint64_t Sequence, Time Until) const;

  std::uint64_t tokens() const {
    return this->Positions.size() * PromptBlockTokens;
  }

private:
  struct DatedEvent {
    CacheEvent Change;
    Time At{};
  };
  void publish(BlockHash Block, bool Stored, Time Now);

  static constexpr std::size_t MaxEvents = 8192;

  std::list<BlockHash> Recency; ///< Least recently used first.
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> Positions;
  std::deque<DatedEvent> Events;
  std::uint64_t LastSequence = 0;
};

} // namespace banyanpick
