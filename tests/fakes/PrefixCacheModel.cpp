#include "fakes/PrefixCacheModel.h"

namespace banyanpick {

std::uint64_t
PrefixCacheModel::cachedTokens(std::span<const BlockHash> Blocks) {
  std::uint64_t Found = 0;
  for (const BlockHash Block : Blocks) {
    const auto Place = this->Places.find(Block);
    if (Place == this->Places.end())
      break;
    this->Recency.splice(this->Recency.end(), this->Recency, Place->second);
    ++Found;
  }
  return Found * PromptBlockTokens;
}

void PrefixCacheModel::store(std::span<const BlockHash> Blocks, Time Now) {
  for (const BlockHash Block : Blocks) {
    const auto Place = this->Places.find(Block);
    if (Place != this->Places.end()) {
      this->Recency.splice(this->Recency.end(), this->Recency, Place->second);
      continue;
    }
    this->Places[Block] = this->Recency.insert(this->Recency.end(), Block);
    this->publish(Block, true, Now);
  }
}

void PrefixCacheModel::shrinkTo(std::uint64_t Tokens, Time Now) {
  while (this->tokens() > Tokens) {
    const BlockHash Oldest = this->Recency.front();
    this->Recency.pop_front();
    this->Places.erase(Oldest);
    this->publish(Oldest, false, Now);
  }
}

std::vector<CacheEvent> PrefixCacheModel::eventsAfter(std::uint64_t Sequence,
                                                      Time Until) const {
  std::vector<CacheEvent> Result;
  for (const DatedEvent &Each : this->Events)
    if (Each.What.Sequence > Sequence && Each.At <= Until)
      Result.push_back(Each.What);
  return Result;
}

void PrefixCacheModel::publish(BlockHash Block, bool Stored, Time Now) {
  this->Events.push_back({{++this->LastSequence, Stored, Block}, Now});
  if (this->Events.size() > EventsKept)
    this->Events.pop_front();
}

} // namespace banyanpick
