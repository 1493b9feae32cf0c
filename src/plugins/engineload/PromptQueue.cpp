#include "plugins/engineload/PromptQueue.h"

#include <algorithm>
#include <tuple>

namespace banyanpick {

double queueWeight(const EngineWork::QueuedPrompt &Prompt, Duration Since,
                   double LateShare) {
  const double LeftMs = Prompt.LeftMs - inSeconds(Since) * 1e3;
  const double Value =
      static_cast<double>(Prompt.Tokens) / std::max(Prompt.PrefillMs, 1.0);
  return LeftMs >= Prompt.NeededMs ? Value : Value * LateShare;
}

bool PromptQueue::note(const QueuedPrompt &Prompt, Time Now) {
  const auto Found =
      std::ranges::find(this->Own, Prompt.Request,
                        [](const Entry &Item) { return Item.Prompt.Request; });
  if (Found != this->Own.end()) {
    *Found = {Prompt, Now};
    return false;
  }
  this->Own.push_back({Prompt, Now});
  return true;
}

bool PromptQueue::drop(std::uint64_t Request) {
  return std::erase_if(this->Own, [&](const Entry &Item) {
           return Item.Prompt.Request == Request;
         }) > 0;
}

void PromptQueue::takePeer(const HostId &Peer,
                           std::span<const QueuedPrompt> All, Time Now) {
  std::vector<Entry> &Entries = this->Peers[Peer];
  Entries.clear();
  for (const QueuedPrompt &Prompt : All)
    Entries.push_back({Prompt, Now});
}

std::vector<PromptQueue::Entry>
PromptQueue::current(const std::vector<Entry> &Entries, Time Now) const {
  std::vector<Entry> Result;
  for (const Entry &Item : Entries)
    if (Now <= Item.NotedAt + this->Ttl)
      Result.push_back(Item);
  return Result;
}

template <class Function>
void PromptQueue::visitBefore(const QueuedPrompt &Prompt, const HostId &Self,
                              Time Now, Function Visit) const {
  const auto KeyOf = [&](const Entry &Item, const HostId &Host) {
    return std::tuple(
        -queueWeight(Item.Prompt, Now - Item.NotedAt, this->LateShare),
        Host.Value, Item.Prompt.Request);
  };
  const auto OwnKey = KeyOf({Prompt, Now}, Self);
  for (const Entry &Item : this->current(this->Own, Now))
    if (KeyOf(Item, Self) < OwnKey)
      Visit(Item.Prompt);
  for (const auto &[Host, All] : this->Peers)
    for (const Entry &Item : this->current(All, Now))
      if (KeyOf(Item, Host) < OwnKey)
        Visit(Item.Prompt);
}

std::size_t PromptQueue::rank(const QueuedPrompt &Prompt, const HostId &Self,
                              Time Now) const {
  std::size_t Before = 0;
  this->visitBefore(Prompt, Self, Now, [&](const QueuedPrompt &) { ++Before; });
  return Before;
}

double PromptQueue::prefillAheadMs(const QueuedPrompt &Prompt,
                                   const HostId &Self, Time Now) const {
  double Sum = 0;
  this->visitBefore(Prompt, Self, Now,
                    [&](const QueuedPrompt &Other) { Sum += Other.PrefillMs; });
  return Sum;
}

std::vector<PromptQueue::QueuedPrompt> PromptQueue::own(Time Now) const {
  std::vector<QueuedPrompt> Result;
  for (const Entry &Item : this->current(this->Own, Now)) {
    QueuedPrompt Prompt = Item.Prompt;
    Prompt.LeftMs -= inSeconds(Now - Item.NotedAt) * 1e3;
    Result.push_back(Prompt);
  }
  return Result;
}

} // namespace banyanpick
