#include "plugins/limits/ShareView.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <xxhash.h>

namespace banyanpick {

namespace {

constexpr std::uint64_t RateUnits = 1000;

template <class Predicate>
std::vector<HostId> chooseHosts(const TeamId &Team, const TeamEntry &Limits,
                                std::span<const ShareHost> Hosts,
                                Predicate IsCandidate) {
  std::vector<TeamHostCandidate> Candidates;
  for (const ShareHost &Item : Hosts) {
    if (IsCandidate(Item))
      Candidates.push_back(Item.Candidate);
  }
  return teamHosts(Team, Limits, Candidates);
}

const ShareHost &findHost(const HostId &Id, std::span<const ShareHost> Hosts) {
  return *std::find_if(Hosts.begin(), Hosts.end(), [&](const ShareHost &Item) {
    return Item.Candidate.Host == Id;
  });
}

/// Returns the hosts that hold base shares, most preferred first.
std::vector<HostId> shareHolders(const TeamId &Team, const TeamEntry &Limits,
                                 std::span<const ShareHost> Hosts) {
  auto AllHosts =
      chooseHosts(Team, Limits, Hosts, [](const ShareHost &) { return true; });
  const auto AliveCount =
      std::count_if(AllHosts.begin(), AllHosts.end(), [&](const HostId &Host) {
        return !findHost(Host, Hosts).IsDead;
      });
  const bool IsMajority =
      static_cast<std::size_t>(AliveCount) * 2 > AllHosts.size();
  if (!IsMajority)
    return AllHosts;
  auto Result = chooseHosts(Team, Limits, Hosts, [](const ShareHost &Item) {
    return !Item.IsDead && !Item.IsLeaving;
  });
  // A leaving host serves until callers have resolved again. Its share moves to
  // the other hosts as its demand falls.
  const auto WithLeaving = chooseHosts(
      Team, Limits, Hosts, [](const ShareHost &Item) { return !Item.IsDead; });
  for (const HostId &Host : WithLeaving) {
    if (findHost(Host, Hosts).IsLeaving)
      Result.push_back(Host);
  }
  return Result;
}

std::uint64_t viewId(const ShareView &View, const TeamEntry &Limits,
                     std::span<const ShareHost> Hosts) {
  std::string Text = fmt::format("{}/{}/{}", Limits.RequestsPerMinute,
                                 Limits.TokensPerMinute, Limits.Concurrent);
  for (const BaseShare &Share : View.Shares)
    Text += fmt::format("/{}:{:x}", Share.Host.Value,
                        findHost(Share.Host, Hosts).Life.Value);
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace

std::size_t ShareView::find(const HostId &Host) const {
  const auto Found =
      std::find_if(this->Shares.begin(), this->Shares.end(),
                   [&](const BaseShare &Share) { return Share.Host == Host; });
  return static_cast<std::size_t>(Found - this->Shares.begin());
}

std::uint64_t ShareView::baseUnits(const HostId &Host) const {
  const std::size_t Index = this->find(Host);
  return Index < this->Shares.size() ? this->Shares[Index].Units : 0;
}

std::uint64_t ShareView::keyFor(const HostId &Receiver,
                                Incarnation Life) const {
  if (this->find(Receiver) < this->Shares.size())
    return this->Id;
  return combineHashes(this->Id, Life.Value);
}

std::vector<ShareHost> shareHosts(const MembershipView &Members) {
  std::vector<ShareHost> Result;
  Result.push_back({{Members.self(), Members.selfZone()}, Members.selfLife()});
  for (const Member &Peer : Members.peers())
    Result.push_back({{Peer.Listing.Id, Peer.Listing.Zone},
                      Peer.Life,
                      Peer.State == MemberState::Dead,
                      Peer.State == MemberState::Leaving});
  return Result;
}

ShareView shareView(const TeamId &Team, const TeamEntry &Limits,
                    std::span<const ShareHost> Hosts) {
  ShareView View;
  View.Units = Limits.Concurrent > 0 ? Limits.Concurrent : RateUnits;
  const auto Holders = shareHolders(Team, Limits, Hosts);
  for (std::size_t Rank = 0; Rank < Holders.size(); ++Rank) {
    const std::uint64_t Remainder = View.Units % Holders.size();
    View.Shares.push_back({Holders[Rank], View.Units / Holders.size() +
                                              (Rank < Remainder ? 1 : 0)});
  }
  View.Id = viewId(View, Limits, Hosts);
  return View;
}

} // namespace banyanpick
