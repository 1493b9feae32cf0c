#include "plugins/routing/SentWorkTracker.h"

#include <algorithm>

namespace banyanpick {

void SentWorkTracker::sent(const UpstreamId &Engine, SentWork Work) {
  this->ByEngine[Engine].push_back(Work);
}

void SentWorkTracker::firstToken(const UpstreamId &Engine,
                                 const AttemptId &Attempt) {
  if (SentWork *Found = this->find(Engine, Attempt))
    Found->PrefillTokens = 0;
}

void SentWorkTracker::ended(const UpstreamId &Engine,
                            const AttemptId &Attempt) {
  const auto Found = this->ByEngine.find(Engine);
  if (Found == this->ByEngine.end())
    return;
  std::erase_if(Found->second, [&Attempt](const SentWork &Item) {
    return Item.Attempt == Attempt;
  });
  if (Found->second.empty())
    this->ByEngine.erase(Found);
}

WorkSum SentWorkTracker::sentSince(const UpstreamId &Engine, Time Since,
                                   std::uint32_t Priority) const {
  WorkSum Sum;
  const std::vector<SentWork> *Items = this->findItems(Engine);
  if (!Items)
    return Sum;
  // The newest items are last.
  for (auto It = Items->rbegin(); It != Items->rend(); ++It) {
    if (It->SentAt <= Since)
      break;
    Sum.MemoryTokens += It->MemoryTokens;
    ++Sum.Requests;
    if (It->Priority >= Priority)
      Sum.PrefillTokens += It->PrefillTokens;
  }
  return Sum;
}

std::uint64_t SentWorkTracker::longPrefill(const UpstreamId &Engine) const {
  std::uint64_t Tokens = 0;
  if (const std::vector<SentWork> *Items = this->findItems(Engine))
    for (const SentWork &Item : *Items)
      Tokens += Item.IsLong ? Item.PrefillTokens : 0;
  return Tokens;
}

bool SentWorkTracker::hasIsolated(const UpstreamId &Engine) const {
  const std::vector<SentWork> *Items = this->findItems(Engine);
  return Items &&
         std::any_of(Items->begin(), Items->end(),
                     [](const SentWork &Item) { return Item.IsIsolated; });
}

std::size_t SentWorkTracker::attempts(const UpstreamId &Engine) const {
  const std::vector<SentWork> *Items = this->findItems(Engine);
  return Items ? Items->size() : 0;
}

SentWork *SentWorkTracker::find(const UpstreamId &Engine,
                                const AttemptId &Attempt) {
  const auto Found = this->ByEngine.find(Engine);
  if (Found == this->ByEngine.end())
    return nullptr;
  for (SentWork &Item : Found->second)
    if (Item.Attempt == Attempt)
      return &Item;
  return nullptr;
}

const std::vector<SentWork> *
SentWorkTracker::findItems(const UpstreamId &Engine) const {
  const auto Found = this->ByEngine.find(Engine);
  return Found == this->ByEngine.end() ? nullptr : &Found->second;
}

} // namespace banyanpick
