#include "plugins/fairness/UsageGossip.h"

#include <algorithm>

namespace banyanpick {

void UsageGossip::record(const QueueWork &Work, Time Now) {
  if (Work.QueueHash == 0 || Work.Tokens == 0)
    return;
  OwnTotal &Total = this->Own[{Work.Team, Work.QueueHash}];
  const bool WasPending = Total.IsChanged || Total.PeersLeft > 0;
  this->Pending += WasPending ? 0 : 1;
  Total.Tokens += Work.Tokens;
  Total.ChangedAt = Now;
  Total.IsChanged = true;
}

std::vector<UsageForPeer> UsageGossip::due(const PeersOfTeam &Peers, Time Now) {
  if (Now < this->nextDue())
    return {};
  this->SentAt = Now;
  ++this->Round;
  std::map<HostId, TeamUsage> Messages;
  std::uint64_t Remaining = this->Policy.ItemsPerInterval;
  auto It = this->Own.upper_bound(this->Cursor);
  for (std::size_t Visited = 0; Visited < this->Own.size() && Remaining > 0;
       ++Visited) {
    if (It == this->Own.end())
      It = this->Own.begin();
    this->Cursor = It->first;
    OwnTotal &Total = It->second;
    if (Total.IsChanged || Total.PeersLeft > 0)
      Remaining -= this->addToMessages(It->first, Total, Peers(It->first.first),
                                       Remaining, Messages);
    ++It;
  }
  std::vector<UsageForPeer> Result;
  Result.reserve(Messages.size());
  for (auto &[To, Usage] : Messages)
    Result.push_back({To, std::move(Usage)});
  return Result;
}

std::uint64_t UsageGossip::addToMessages(
    const WorkKey &Key, OwnTotal &Total, std::span<const HostId> Peers,
    std::uint64_t MaxItems, std::map<HostId, TeamUsage> &Messages) {
  if (Total.PeersLeft == 0) {
    Total.PeersLeft = Peers.size();
    Total.IsChanged = false;
  }
  Total.PeersLeft = std::min(Total.PeersLeft, Peers.size());
  std::uint64_t Added = 0;
  while (Total.PeersLeft > 0 && Added < MaxItems) {
    TeamUsage &Message = Messages[Peers[--Total.PeersLeft]];
    Message.Epoch = this->Round;
    TeamUsage::Item Item;
    Item.Team = Key.first;
    Item.QueueHash = Key.second;
    Item.ServiceTokens = Total.Tokens;
    Message.Items.push_back(std::move(Item));
    ++Added;
  }
  if (Total.PeersLeft == 0 && !Total.IsChanged)
    --this->Pending;
  return Added;
}

Time UsageGossip::nextDue() const {
  return this->Pending == 0 ? Never : this->SentAt + this->Policy.Interval;
}

std::vector<QueueWork> UsageGossip::received(const HostId &From,
                                             Incarnation FromLife,
                                             const TeamUsage &Usage, Time Now) {
  PeerState &Peer = this->PeerStates[From];
  if (Peer.Life != FromLife) {
    Peer.Life = FromLife;
    Peer.Totals.clear();
  }
  std::vector<QueueWork> Result;
  for (const TeamUsage::Item &Item : Usage.Items) {
    if (Item.QueueHash == 0)
      continue;
    const auto [Found, IsNew] =
        Peer.Totals.try_emplace({Item.Team, Item.QueueHash});
    PeerTotal &Total = Found->second;
    const double Difference = Item.ServiceTokens - Total.Tokens;
    Total = {Item.ServiceTokens, Now};
    if (!IsNew && Difference != 0)
      Result.push_back({Item.Team, Item.QueueHash, Difference});
  }
  return Result;
}

void UsageGossip::prune(Time Now) {
  const auto IsOld = [&](Time At) { return Now - At > this->Policy.MaxAge; };
  // Peers drop a total before its owner does, so that a lower total is always a
  // correction and never a restarted count.
  std::erase_if(this->Own, [&](const auto &Entry) {
    const OwnTotal &Total = Entry.second;
    return Now - Total.ChangedAt > this->Policy.MaxAge * 2 &&
           !Total.IsChanged && Total.PeersLeft == 0;
  });
  for (auto &[Host, Peer] : this->PeerStates)
    std::erase_if(Peer.Totals, [&](const auto &Entry) {
      return IsOld(Entry.second.ReceivedAt);
    });
  std::erase_if(this->PeerStates,
                [](const auto &Entry) { return Entry.second.Totals.empty(); });
}

} // namespace banyanpick
