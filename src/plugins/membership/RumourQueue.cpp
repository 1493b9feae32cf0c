#include "plugins/membership/RumourQueue.h"

#include <algorithm>

namespace banyanpick {

void RumourQueue::add(const MemberUpdate &News) {
  std::erase_if(this->Waiting,
                [&](const Item &Each) { return Each.News.Host == News.Host; });
  this->Waiting.push_back({News, 0});
}

std::vector<MemberUpdate> RumourQueue::take(std::size_t Most,
                                            std::uint32_t Times) {
  std::ranges::stable_sort(this->Waiting, {}, &Item::Told);
  std::vector<MemberUpdate> Result;
  for (Item &Each : this->Waiting) {
    if (Result.size() == Most)
      break;
    Result.push_back(Each.News);
    ++Each.Told;
  }
  std::erase_if(this->Waiting,
                [&](const Item &Each) { return Each.Told >= Times; });
  return Result;
}

} // namespace banyanpick
