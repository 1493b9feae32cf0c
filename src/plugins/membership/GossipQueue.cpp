#include "plugins/membership/GossipQueue.h"

#include <algorithm>

namespace banyanpick {

void GossipQueue::add(const MemberUpdate &Update) {
  std::erase_if(this->Pending, [&](const Item &Queued) {
    return Queued.Update.Host == Update.Host;
  });
  this->Pending.push_back({Update, 0});
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
