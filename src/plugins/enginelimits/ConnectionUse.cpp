#include "plugins/enginelimits/ConnectionUse.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// While all hosts together use less than this share of the limit, one of them
/// may exceed its part. The rest covers idle connections and requests that
/// peers have not reported yet.
constexpr double FreeUseShare = 0.5;

/// Retention of a peer's report. A peer that works reports more often.
constexpr seconds PeerUseTtl(10);

} // namespace

std::uint32_t connectionPart(std::uint32_t MaxConnections, double Share) {
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(MaxConnections * Share));
}

void ConnectionUse::begin(const RelayAttempt &Attempt) {
  OwnUse &Use = this->Own[Attempt.Engine];
  Use.Service = Attempt.Service;
  Use.Attempts.insert(Attempt.Id);
}

void ConnectionUse::end(const RelayAttempt &Attempt) {
  const auto Found = this->Own.find(Attempt.Engine);
  if (Found == this->Own.end())
    return;
  Found->second.Attempts.erase(Attempt.Id);
  if (Found->second.Attempts.empty())
    this->Own.erase(Found);
}

void ConnectionUse::forget(const PeerUse &Use) {
  for (const auto &[Engine, Count] : Use.Requests) {
    const auto Found = this->PeerTotals.find(Engine);
    Found->second -= Count;
    if (Found->second == 0)
      this->PeerTotals.erase(Found);
  }
}

void ConnectionUse::takePeer(const HostId &Peer,
                             std::span<const EngineWork::Item> Items,
                             Time Now) {
  std::erase_if(this->Peers, [&](const auto &Entry) {
    const bool IsOutdated =
        Entry.first == Peer || Now >= Entry.second.HeardAt + PeerUseTtl;
    if (IsOutdated)
      this->forget(Entry.second);
    return IsOutdated;
  });
  PeerUse &Use = this->Peers[Peer];
  Use.HeardAt = Now;
  for (const EngineWork::Item &Item : Items) {
    const std::uint32_t Count = Item.Prefilling + Item.Decoding;
    if (Count == 0 || !Use.Requests.emplace(Item.Engine, Count).second)
      continue;
    this->PeerTotals[Item.Engine] += Count;
  }
}

const ServiceId *ConnectionUse::serviceOf(const UpstreamId &Engine) const {
  const auto Found = this->Own.find(Engine);
  return Found == this->Own.end() ? nullptr : &Found->second.Service;
}

bool ConnectionUse::mayOpen(const UpstreamId &Engine,
                            std::uint32_t MaxConnections, double Share) const {
  const auto Found = this->Own.find(Engine);
  if (MaxConnections == 0 || Found == this->Own.end())
    return true;
  const std::size_t Running = Found->second.Attempts.size();
  if (Running < connectionPart(MaxConnections, Share))
    return true;
  const auto Total = this->PeerTotals.find(Engine);
  const std::size_t OfPeers =
      Total == this->PeerTotals.end() ? 0 : Total->second;
  return static_cast<double>(Running + OfPeers) < MaxConnections * FreeUseShare;
}

} // namespace banyanpick
