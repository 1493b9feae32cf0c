#include "plugins/crashes/ProbeClaims.h"

#include "base/RendezvousHash.h"

#include <algorithm>
#include <string>

namespace banyanpick {

namespace {

/// How long each host in turn may begin a probe.
constexpr seconds SlotLength(5);

/// The end of each slot, in which no probe begins. Hosts learn of a suspicion
/// at slightly different times.
constexpr seconds SlotMargin(1);

/// A claimed request that is not sent within this time is not the probe.
constexpr seconds ClaimLifetime(2);

/// From the loss of a probe until its engine is known to have crashed.
constexpr seconds EvidencePause(6);

/// Returns how many of the peers come before this host.
std::size_t rankOf(const HostId &Self, std::span<const HostId> Peers,
                   Fingerprint Content) {
  const std::string Key = std::to_string(Content.Value);
  const std::uint64_t OwnWeight = rendezvousWeight(Key, Self.Value);
  return static_cast<std::size_t>(
      std::ranges::count_if(Peers, [&](const HostId &Peer) {
        return Peer != Self && rendezvousWeight(Key, Peer.Value) > OwnWeight;
      }));
}

} // namespace

bool ProbeClaims::claim(const ProbeRequest &Wanted, const HostId &Self,
                        std::span<const HostId> Peers, Time Now) {
  this->removeExpired(Now);
  if (this->kindOf(Wanted.Request) != ProbeKind::None)
    return true;
  if (Now < Wanted.EarliestAt || !this->isFree(Wanted.Suspects, Now))
    return false;
  const Duration Since = Now - Wanted.EarliestAt;
  const auto Slot = static_cast<std::size_t>(Since / Duration(SlotLength));
  const Duration IntoSlot = Since % Duration(SlotLength);
  const Fingerprint Key = std::ranges::min(Wanted.Suspects);
  if (IntoSlot >= SlotLength - SlotMargin ||
      Slot % (Peers.size() + 1) != rankOf(Self, Peers, Key))
    return false;
  const ProbeKind Kind = Wanted.Suspects.size() + Wanted.Others == 1
                             ? ProbeKind::Alone
                             : ProbeKind::Together;
  for (const Fingerprint &Content : Wanted.Suspects)
    this->Claims[Content] = {Wanted.Request, Kind, Now, false};
  return true;
}

ProbeKind ProbeClaims::kindOf(const RequestId &Request) const {
  for (const auto &[Content, Current] : this->Claims)
    if (Current.Request == Request)
      return Current.Kind;
  return ProbeKind::None;
}

void ProbeClaims::sent(const RequestId &Request) {
  for (auto &[Content, Current] : this->Claims)
    if (Current.Request == Request)
      Current.IsSent = true;
}

bool ProbeClaims::ended(const RequestId &Request, bool WasLost, Time Now) {
  return std::erase_if(this->Claims, [&](const auto &Entry) {
           if (Entry.second.Request != Request)
             return false;
           if (WasLost)
             this->PausedUntil[Entry.first] = Now + Duration(EvidencePause);
           return true;
         }) > 0;
}

void ProbeClaims::removeExpired(Time Now) {
  std::erase_if(this->Claims, [&](const auto &Entry) {
    return !Entry.second.IsSent &&
           Now >= Entry.second.ClaimedAt + Duration(ClaimLifetime);
  });
  std::erase_if(this->PausedUntil,
                [&](const auto &Entry) { return Now >= Entry.second; });
}

bool ProbeClaims::isFree(std::span<const Fingerprint> Suspects,
                         Time Now) const {
  return std::ranges::none_of(Suspects, [&](Fingerprint Content) {
    const auto Paused = this->PausedUntil.find(Content);
    return this->Claims.contains(Content) ||
           (Paused != this->PausedUntil.end() && Now < Paused->second);
  });
}

} // namespace banyanpick
