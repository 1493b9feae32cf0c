#include "plugins/routes/PieceQueue.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Who has waited for so long asks another host meanwhile.
constexpr milliseconds AskLapses(400);

} // namespace

void PieceQueue::add(const HostId &By, const ConfigurationRequest &What,
                     Time Now) {
  const auto Found = std::ranges::find(this->Waiting, By, &Wanted::By);
  if (Found == this->Waiting.end())
    this->Waiting.push_back({By, What, Now});
  else
    *Found = {By, What, Now};
}

std::optional<PieceQueue::Wanted> PieceQueue::next(Time Now) {
  std::erase_if(this->Waiting, [&](const Wanted &Each) {
    return Now >= Each.AskedAt + Duration(AskLapses);
  });
  if (Now < this->FreeAt || this->Waiting.empty())
    return std::nullopt;
  const auto First = std::ranges::max_element(
      this->Waiting, {}, [](const Wanted &Each) { return Each.What.From; });
  const Wanted Result = *First;
  this->Waiting.erase(First);
  return Result;
}

void PieceQueue::noteSent(std::size_t Bytes, Time Now) {
  this->FreeAt = std::max(Now, this->FreeAt) +
                 fromSeconds(static_cast<double>(Bytes) / this->Rate);
}

Time PieceQueue::nextAt() const {
  return this->Waiting.empty() ? Never : this->FreeAt;
}

} // namespace banyanpick
