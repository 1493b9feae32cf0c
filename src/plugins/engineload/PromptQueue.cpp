#include "plugins/engineload/PromptQueue.h"

#include <algorithm>
#include <tuple>

namespace banyanpick {

double queueWeight(const EngineWork::Waiting &Of, Duration Since,
                   double LateShare) {
  const double LeftMs = Of.LeftMs - inSeconds(Since) * 1e3;
  const double Worth =
      static_cast<double>(Of.Tokens) / std::max(Of.PrefillMs, 1.0);
  return LeftMs >= Of.NeededMs ? Worth : Worth * LateShare;
}

bool PromptQueue::note(const Waiting &OwnGiven, Time Now) {
  const auto Found =
      std::ranges::find(this->Own, OwnGiven.Request,
                        [](const Entry &Each) { return Each.What.Request; });
  if (Found != this->Own.end()) {
    *Found = {OwnGiven, Now};
    return false;
  }
  this->Own.push_back({OwnGiven, Now});
  return true;
}

bool PromptQueue::drop(std::uint64_t Request) {
  return std::erase_if(this->Own, [&](const Entry &Each) {
           return Each.What.Request == Request;
         }) > 0;
}

void PromptQueue::takePeer(const HostId &Peer, std::span<const Waiting> All,
                           Time Now) {
  std::vector<Entry> &Of = this->Peers[Peer];
  Of.clear();
  for (const Waiting &Each : All)
    Of.push_back({Each, Now});
}

std::vector<PromptQueue::Entry>
PromptQueue::current(const std::vector<Entry> &Of, Time Now) const {
  std::vector<Entry> Result;
  for (const Entry &Each : Of)
    if (Now <= Each.At + this->Keep)
      Result.push_back(Each);
  return Result;
}

std::size_t PromptQueue::rank(const Waiting &OwnGiven, const HostId &Self,
                              Time Now) const {
  const auto KeyOf = [&](const Entry &Each, const HostId &Host) {
    return std::tuple(-queueWeight(Each.What, Now - Each.At, this->LateShare),
                      Host.Value, Each.What.Request);
  };
  const auto Mine = KeyOf({OwnGiven, Now}, Self);
  std::size_t Before = 0;
  for (const Entry &Each : this->current(this->Own, Now))
    Before += KeyOf(Each, Self) < Mine ? 1 : 0;
  for (const auto &[Host, All] : this->Peers)
    for (const Entry &Each : this->current(All, Now))
      Before += KeyOf(Each, Host) < Mine ? 1 : 0;
  return Before;
}

std::vector<PromptQueue::Waiting> PromptQueue::own(Time Now) const {
  std::vector<Waiting> Result;
  for (const Entry &Each : this->current(this->Own, Now)) {
    Waiting Told = Each.What;
    Told.LeftMs -= inSeconds(Now - Each.At) * 1e3;
    Result.push_back(Told);
  }
  return Result;
}

} // namespace banyanpick
