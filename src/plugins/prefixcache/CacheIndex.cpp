#include "plugins/prefixcache/CacheIndex.h"

namespace banyanpick {

bool CacheIndex::take(Incarnation Newest, std::span<const CacheEvent> Events) {
  if (this->EngineIncarnation != Newest) {
    this->clear();
    this->EngineIncarnation = Newest;
  }
  bool HasGap = false;
  for (const CacheEvent &Change : Events) {
    if (Change.Sequence <= this->LastSequence)
      continue;
    if (Change.Sequence != this->LastSequence + 1) {
      HasGap = true;
      ++this->Generation;
    }
    this->LastSequence = Change.Sequence;
    if (!Change.Stored)
      this->BlockGenerations.erase(Change.Block);
    else if (this->BlockGenerations.size() < MaximumBlocks)
      this->BlockGenerations[Change.Block] = this->Generation;
  }
  return HasGap;
}

void CacheIndex::clear() {
  this->BlockGenerations.clear();
  this->LastSequence = 0;
  this->Generation = 0;
}

std::uint64_t
CacheIndex::cachedTokens(std::span<const BlockHash> Blocks) const {
  std::uint64_t Tokens = 0;
  for (const BlockHash Block : Blocks) {
    const auto Found = this->BlockGenerations.find(Block);
    if (Found == this->BlockGenerations.end())
      break;
    const bool IsCertain = Found->second == this->Generation;
    Tokens += IsCertain ? PromptBlockTokens : PromptBlockTokens / 2;
  }
  return Tokens;
}

} // namespace banyanpick
