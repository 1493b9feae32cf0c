#include "plugins/routing/WorkBook.h"

#include <algorithm>

namespace banyanpick {

void WorkBook::sent(const UpstreamId &Engine, SentWork Work) {
  this->ByEngine[Engine].push_back(Work);
}

void WorkBook::firstToken(const UpstreamId &Engine, const AttemptId &Attempt) {
  if (SentWork *Found = this->find(Engine, Attempt))
    Found->PrefillTokens = 0;
}

void WorkBook::ended(const UpstreamId &Engine, const AttemptId &Attempt) {
  const auto Found = this->ByEngine.find(Engine);
  if (Found == this->ByEngine.end())
    return;
  std::erase_if(Found->second, [&Attempt](const SentWork &Each) {
    return Each.Attempt == Attempt;
  });
  if (Found->second.empty())
    this->ByEngine.erase(Found);
}

WorkSum WorkBook::sentSince(const UpstreamId &Engine, Time Since,
                            std::uint32_t Priority) const {
  WorkSum Sum;
  const std::vector<SentWork> *Here = this->on(Engine);
  if (!Here)
    return Sum;
  // The newest stand last.
  for (auto Each = Here->rbegin(); Each != Here->rend(); ++Each) {
    if (Each->SentAt <= Since)
      break;
    Sum.MemoryTokens += Each->MemoryTokens;
    ++Sum.Requests;
    if (Each->Priority >= Priority)
      Sum.PrefillTokens += Each->PrefillTokens;
  }
  return Sum;
}

std::uint64_t WorkBook::longPrefill(const UpstreamId &Engine) const {
  std::uint64_t Tokens = 0;
  if (const std::vector<SentWork> *Here = this->on(Engine))
    for (const SentWork &Each : *Here)
      Tokens += Each.IsLong ? Each.PrefillTokens : 0;
  return Tokens;
}

bool WorkBook::hasIsolated(const UpstreamId &Engine) const {
  const std::vector<SentWork> *Here = this->on(Engine);
  return Here &&
         std::any_of(Here->begin(), Here->end(),
                     [](const SentWork &Each) { return Each.IsIsolated; });
}

std::size_t WorkBook::attempts(const UpstreamId &Engine) const {
  const std::vector<SentWork> *Here = this->on(Engine);
  return Here ? Here->size() : 0;
}

SentWork *WorkBook::find(const UpstreamId &Engine, const AttemptId &Attempt) {
  const auto Found = this->ByEngine.find(Engine);
  if (Found == this->ByEngine.end())
    return nullptr;
  for (SentWork &Each : Found->second)
    if (Each.Attempt == Attempt)
      return &Each;
  return nullptr;
}

const std::vector<SentWork> *WorkBook::on(const UpstreamId &Engine) const {
  const auto Found = this->ByEngine.find(Engine);
  return Found == this->ByEngine.end() ? nullptr : &Found->second;
}

} // namespace banyanpick
