/// \file
/// The prefix cache of a modelled engine: blocks in least recently used order
/// inside whatever memory is free, with the events an engine publishes.
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

/// Cached prompt blocks of one engine.
class PrefixCacheModel {
public:
  /// Tokens at the start of the prompt that are cached; marks them as used.
  std::uint64_t cachedTokens(std::span<const BlockHash> Blocks);

  /// Stores the blocks; a block already there is marked as used.
  void store(std::span<const BlockHash> Blocks, Time Now);

  /// Removes the least recently used blocks until at most \p Tokens are kept.
  void shrinkTo(std::uint64_t Tokens, Time Now);

  /// Events after the sequence that happened by \p Until. Only the newest
  /// MaxEvents are kept, so that a slow reader sees a gap.
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
