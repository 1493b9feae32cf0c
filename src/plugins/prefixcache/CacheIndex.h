/// \file
/// What one engine is believed to have cached.
#pragma once

#include "kernel/Request.h"
#include "kernel/Upstream.h"

#include <span>
#include <unordered_map>

namespace banyanpick {

/// The index of one engine's cached blocks, built from its events. After a
/// gap the blocks known before are unsure until an event names them again.
class CacheIndex {
public:
  /// Takes events in; true when some before them were missed.
  bool take(Incarnation Life, std::span<const CacheEvent> Events);

  /// Forgets everything: the engine died or began a new life.
  void clear();

  /// Probably cached tokens at the prompt's start; unsure blocks count half.
  std::uint64_t cachedTokens(std::span<const BlockHash> Blocks) const;

  std::uint64_t lastSequence() const { return this->LastSequence; }
  std::size_t blocks() const { return this->Known.size(); }

private:
  /// An engine's memory holds far fewer blocks; more are an error of its.
  static constexpr std::size_t MaximumBlocks = 65'536;

  Incarnation Life;
  std::uint64_t LastSequence = 0;
  std::uint32_t Generation = 0;                       ///< Counts gaps.
  std::unordered_map<BlockHash, std::uint32_t> Known; ///< To its generation.
};

} // namespace banyanpick
