/// \file
/// The index of one engine's cached prompt blocks.
#pragma once

#include "kernel/Request.h"
#include "kernel/Upstream.h"

#include <span>
#include <unordered_map>

namespace banyanpick {

/// Index of one engine's cached blocks, built from its cache events. After a
/// gap in the events, the known blocks are uncertain until another event names
/// them.
class CacheIndex {
public:
  /// Applies events. Returns whether some events before them were missed.
  bool take(Incarnation Newest, std::span<const CacheEvent> Events);

  /// Clears the index, after the engine died or restarted.
  void clear();

  /// Returns the number of tokens at the prompt's start that are probably
  /// cached. Uncertain blocks count for half.
  std::uint64_t cachedTokens(std::span<const BlockHash> Blocks) const;

  std::uint64_t lastSequence() const { return this->LastSequence; }
  std::size_t blocks() const { return this->BlockGenerations.size(); }

private:
  /// An engine's memory holds far fewer blocks. A larger number is an error of
  /// the engine.
  static constexpr std::size_t MaximumBlocks = 65'536;

  Incarnation EngineIncarnation;
  std::uint64_t LastSequence = 0;
  std::uint32_t Generation = 0; ///< Number of gaps so far.
  /// Generation of each block.
  std::unordered_map<BlockHash, std::uint32_t> BlockGenerations;
};

} // namespace banyanpick
