/// \file
#include "plugins/log/AppendRoute.h"

#include "base/RendezvousHash.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// One live host and its weight in the selection of appenders.
struct Candidate {
  HostId Host;
  ZoneId Zone;
  std::uint64_t Weight = 0;
};

Candidate candidate(const HostId &Host, const ZoneId &Zone) {
  return {Host, Zone, rendezvousWeight("log-gatherer", Host.Value)};
}

std::vector<Candidate> liveHosts(const MembershipView &Members) {
  std::vector<Candidate> Live;
  Live.push_back(candidate(Members.self(), Members.selfZone()));
  for (const Member &Peer : Members.peers()) {
    if (Peer.State == MemberState::Alive)
      Live.push_back(candidate(Peer.Listing.Id, Peer.Listing.Zone));
  }
  return Live;
}

} // namespace

AppendRoute appendRoute(const MembershipView &Members,
                        std::size_t MaxAppenders) {
  std::vector<Candidate> Live = liveHosts(Members);
  if (MaxAppenders == 0 || Live.size() <= MaxAppenders)
    return {std::nullopt, Live.size()};
  const auto Heavier = [](const Candidate &First, const Candidate &Second) {
    return First.Weight > Second.Weight;
  };
  const auto End = Live.begin() + static_cast<std::ptrdiff_t>(MaxAppenders);
  std::nth_element(Live.begin(), End, Live.end(), Heavier);
  Live.erase(End, Live.end());

  const HostId &Self = Members.self();
  const auto Better = [&](const Candidate &First, const Candidate &Second) {
    const bool IsFirstInZone = First.Zone == Members.selfZone();
    const bool IsSecondInZone = Second.Zone == Members.selfZone();
    if (IsFirstInZone != IsSecondInZone)
      return IsFirstInZone;
    return rendezvousWeight(Self.Value, First.Host.Value) >
           rendezvousWeight(Self.Value, Second.Host.Value);
  };
  const bool IsAppender =
      std::any_of(Live.begin(), Live.end(),
                  [&](const Candidate &Host) { return Host.Host == Self; });
  if (IsAppender)
    return {std::nullopt, MaxAppenders};
  return {std::min_element(Live.begin(), Live.end(), Better)->Host,
          MaxAppenders};
}

} // namespace banyanpick
