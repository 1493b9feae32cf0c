#include "plugins/prefixcache/CacheIndex.h"

namespace banyanpick {

bool CacheIndex::take(Incarnation Newest, std::span<const CacheEvent> Events) {
  if (this->Life != Newest) {
    this->clear();
    this->Life = Newest;
  }
  bool Gap = false;
  for (const CacheEvent &Each : Events) {
    if (Each.Sequence <= this->LastSequence)
      continue;
    if (Each.Sequence != this->LastSequence + 1) {
      Gap = true;
      ++this->Generation;
    }
    this->LastSequence = Each.Sequence;
    if (!Each.Stored)
      this->Known.erase(Each.Block);
    else if (this->Known.size() < MaximumBlocks)
      this->Known[Each.Block] = this->Generation;
  }
  return Gap;
}

void CacheIndex::clear() {
  this->Known.clear();
  this->LastSequence = 0;
  this->Generation = 0;
}

std::uint64_t
CacheIndex::cachedTokens(std::span<const BlockHash> Blocks) const {
  std::uint64_t Tokens = 0;
  for (const BlockHash Block : Blocks) {
    const auto Found = this->Known.find(Block);
    if (Found == this->Known.end())
      break;
    const bool Sure = Found->second == this->Generation;
    Tokens += Sure ? PromptBlockTokens : PromptBlockTokens / 2;
  }
  return Tokens;
}

} // namespace banyanpick
