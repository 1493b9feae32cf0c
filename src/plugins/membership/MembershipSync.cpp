/// \file
/// Exchanges the members that some hosts lack.
#include "plugins/membership/MembershipPlugin.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Most members in one answer, some 100 bytes each.
constexpr std::size_t MaxMembersPerAnswer = 256;

} // namespace

MemberSummary MembershipPlugin::knownMembers() const {
  MemberDigestSum All = this->Peers.digestSum();
  All.replace(0, memberDigest(this->ownUpdate()));
  return {All.sum(), All.count()};
}

std::vector<std::uint32_t>
MembershipPlugin::bucketDigests(std::size_t Buckets) const {
  std::vector<std::uint32_t> Result(Buckets, 0);
  const auto Add = [&](const HostId &Host, std::uint64_t Digest) {
    Result[memberBucket(Host, Buckets)] += static_cast<std::uint32_t>(Digest);
  };
  Add(this->Self.Host, memberDigest(this->ownUpdate()));
  const std::span<const Member> All = this->Peers.members();
  for (std::size_t Index = 0; Index < All.size(); ++Index)
    Add(All[Index].Listing.Id, this->Peers.record(Index).Digest);
  return Result;
}

void MembershipPlugin::requestMembers(const HostId &From, const Heartbeat &Beat,
                                      Time Now, Actions &Out) {
  const bool IsNeeded = this->GossipDiscovery && Beat.MembersCount > 0 &&
                        (this->Probes.isSampling(this->Peers) ||
                         this->Probes.isSampled(Beat.MembersCount));
  if (!IsNeeded)
    return;
  const MemberSummary Theirs{Beat.MembersDigest, Beat.MembersCount};
  const MemberSummary Own = this->knownMembers();
  if (!this->Sync.shouldRequest(Theirs, Own, Now))
    return;
  Out.count("members_requested");
  Out.add(SendToPeer{From, MembersRequest{this->bucketDigests(
                               MemberSync::bucketsFor(Theirs, Own))}});
}

void MembershipPlugin::answerMembersRequest(const HostId &From,
                                            const MembersRequest &Request,
                                            Time Now, Actions &Out) {
  if (!this->Sync.mayAnswer(Now))
    return;
  const std::size_t Buckets = Request.Digests.size();
  const std::vector<std::uint32_t> Own = this->bucketDigests(Buckets);
  const auto Differs = [&](const HostId &Host) {
    const std::size_t Bucket = memberBucket(Host, Buckets);
    return Own[Bucket] != Request.Digests[Bucket];
  };
  MembersRelayed Answer;
  if (Differs(this->Self.Host))
    Answer.Members.push_back({this->ownListing(), this->ownUpdate()});
  // Begins at a random peer, so that answers of several hosts complement each
  // other.
  const std::span<const Member> All = this->Peers.members();
  const std::size_t First = All.empty() ? 0 : this->Rng->below(All.size());
  for (std::size_t Count = 0; Count < All.size(); ++Count) {
    if (Answer.Members.size() >= MaxMembersPerAnswer)
      break;
    const std::size_t Index = (First + Count) % All.size();
    const Member &Peer = All[Index];
    if (Peer.Life != Incarnation() && Differs(Peer.Listing.Id))
      Answer.Members.push_back({Peer.Listing, this->Peers.updateOf(Index)});
  }
  this->Sync.noteAnswer(Answer.Members.size(), Now);
  Out.add(SendToPeer{From, std::move(Answer)});
}

void MembershipPlugin::takeMembers(const MembersRelayed &Relayed, Time Now,
                                   Actions &Out) {
  if (!this->GossipDiscovery)
    return;
  this->Sync.noteReceived(Relayed.Members.size(), Now);
  std::vector<HostListing> Alive;
  for (const MembersRelayed::Item &Item : Relayed.Members)
    if (Item.State.State != MemberState::Dead)
      Alive.push_back(Item.Listing);
  std::vector<HostListing> Added = this->addUnknown(Alive, Now);
  for (const MembersRelayed::Item &Item : Relayed.Members)
    this->applyUpdate(Item.State, Now);
  // Others that lack these changes request them, too.
  this->Peers.withholdChanges();
  if (!Added.empty())
    Out.add(ConnectPeers{std::move(Added), true});
}

} // namespace banyanpick
