#include "plugins/membership/GossipQueue.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Further updates replace those that were sent most often.
constexpr std::size_t MaxPending = 128;

/// An update that this many peers sent is known to nearly all hosts: with
/// random peers, one host in a hundred does not hear it then (Demers and
/// others, 1987).
constexpr std::uint32_t MaxHeard = 4;

} // namespace

void GossipQueue::add(const MemberUpdate &Update) {
  std::erase_if(this->Pending, [&](const Item &Queued) {
    return Queued.Update.Host == Update.Host;
  });
  if (this->Pending.size() >= MaxPending)
    this->Pending.erase(
        std::ranges::max_element(this->Pending, {}, &Item::SendCount));
  this->Pending.push_back({Update});
}

void GossipQueue::noteHeard(const MemberUpdate &Update) {
  const auto Found = std::ranges::find(this->Pending, Update, &Item::Update);
  if (Found != this->Pending.end() && ++Found->HeardCount >= MaxHeard)
    this->Pending.erase(Found);
}

std::vector<MemberUpdate> GossipQueue::take(std::size_t MaxUpdates,
                                            std::uint32_t MaxSends) {
  std::ranges::stable_sort(this->Pending, {}, &Item::SendCount);
  std::vector<MemberUpdate> Result;
  for (Item &Queued : this->Pending) {
    if (Result.size() == MaxUpdates)
      break;
    Result.push_back(Queued.Update);
    ++Queued.SendCount;
  }
  std::erase_if(this->Pending, [&](const Item &Queued) {
    return Queued.SendCount >= MaxSends;
  });
  return Result;
}

} // namespace banyanpick
