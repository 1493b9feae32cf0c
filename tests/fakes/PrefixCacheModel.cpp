#include "fakes/PrefixCacheModel.h"

namespace banyanpick {

std::uint64_t
PrefixCacheModel::cachedTokens(std::span<const BlockHash> Blocks) {
  std::uint64_t CachedBlocks = 0;
  for (const BlockHash Block : Blocks) {
    const auto Position = this->Positions.find(Block);
    if (Position == this->Positions.end())
      break;
    this->Recency.splice(this->Recency.end(), this->Recency, Position->second);
    ++CachedBlocks;
  }
  return CachedBlocks * PromptBlockTokens;
}

void PrefixCacheModel::store(std::span<const BlockHash> Blocks, Time Now) {
  for (const BlockHash Block : Blocks) {
    const auto Position = this->Positions.find(Block);
    if (Position != this->Positions.end()) {
      this->Recency.splice(this->Recency.end(), this->Recency,
                           Position->second);
      continue;
    }
    this->Positions[Block] = this->Recency.insert(this->Recency.end(), Block);
    this->publish(Block, true, Now);
  }
}

void PrefixCacheModel::shrinkTo(std::uint64_t Tokens, Time Now) {
  while (this->tokens() > Tokens) {
    const BlockHash Oldest = this->Recency.front();
    this->Recency.pop_front();
    this->Positions.erase(Oldest);
    this->publish(Oldest, false, Now);
  }
}

std::vector<CacheEvent> PrefixCacheModel::eventsAfter(std::uint64_t Sequence,
                                                      Time Until) const {
  std::vector<CacheEvent> Result;
  for (const DatedEvent &Event : this->Events)
    if (Event.Change.Sequence > Sequence && Event.At <= Until)
      Result.push_back(Event.Change);
  return Result;
}

void PrefixCacheModel::publish(BlockHash Block, bool Stored, Time Now) {
  this->Events.push_back({{++this->LastSequence, Stored, Block}, Now});
  if (this->Events.size() > MaxEvents)
    this->Events.pop_front();
}

} // namespace banyanpick
