#include "plugins/routes/ChunkQueue.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// A peer that has waited this long requests the chunk from another host.
constexpr milliseconds RequestTimeout(400);

} // namespace

void ChunkQueue::add(const HostId &Peer, const ConfigurationRequest &Request,
                     Time Now) {
  const auto Found =
      std::ranges::find(this->Waiting, Peer, &PendingRequest::Peer);
  if (Found == this->Waiting.end())
    this->Waiting.push_back({Peer, Request, Now});
  else
    *Found = {Peer, Request, Now};
}

std::optional<ChunkQueue::PendingRequest> ChunkQueue::next(Time Now) {
  std::erase_if(this->Waiting, [&](const PendingRequest &Pending) {
    return Now >= Pending.RequestedAt + Duration(RequestTimeout);
  });
  if (Now < this->NextSendAt || this->Waiting.empty())
    return std::nullopt;
  const auto First = std::ranges::max_element(
      this->Waiting, {},
      [](const PendingRequest &Pending) { return Pending.Request.From; });
  const PendingRequest Result = *First;
  this->Waiting.erase(First);
  return Result;
}

void ChunkQueue::recordSent(std::size_t Bytes, Time Now) {
  this->NextSendAt = std::max(Now, this->NextSendAt) +
                     fromSeconds(static_cast<double>(Bytes) / this->Rate);
}

Time ChunkQueue::nextSendTime() const {
  return this->Waiting.empty() ? Never : this->NextSendAt;
}

} // namespace banyanpick
