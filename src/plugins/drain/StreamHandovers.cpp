#include "plugins/drain/StreamHandovers.h"

#include "base/EventNumbers.h"
#include "base/RendezvousHash.h"

#include <algorithm>

namespace banyanpick {

namespace {

constexpr Duration OfferRetryInterval = milliseconds(500);

} // namespace

void StreamHandovers::offer(Time Now, Actions &Out) {
  std::erase_if(this->Offers, [this](const auto &Entry) {
    return !this->Requests->find(Entry.first);
  });
  for (const RequestId &Id : this->Requests->ids())
    this->offerOne(Id, Now, Out);
}

void StreamHandovers::handleTaken(const HostId &From,
                                  const HandoverTaken &Answer, Time Now,
                                  Actions &Out) {
  const auto Found = std::ranges::find_if(this->Offers, [&](const auto &Entry) {
    return Entry.second.ResumeToken == Answer.ResumeToken &&
           Entry.second.To == From;
  });
  const Member *Peer = this->livePeer(From);
  if (Found == this->Offers.end() || !Peer)
    return;
  const RequestId Id = Found->first;
  this->Offers.erase(Found);
  Out.log(logEvent(events::StreamHandedOver)
              .with("request", Id.Value)
              .with("to", From.Value)
              .build());
  this->Requests->handOver(Id, Peer->Listing.Callers, Now, Out);
}

void StreamHandovers::offerOne(const RequestId &Id, Time Now, Actions &Out) {
  const Request *ClientRequest = this->Requests->find(Id);
  const Attempt *Running = this->Requests->attemptOf(Id);
  const std::string Token = this->Requests->resumeToken(Id);
  // The memory holds of a group belong to this host and can't be transferred.
  if (!ClientRequest || !Running || Token.empty() || !Running->Group.empty())
    return;
  Offer &Pending = this->Offers[Id];
  const bool AwaitsAnswer =
      !Pending.ResumeToken.empty() && this->livePeer(Pending.To);
  if (AwaitsAnswer && Now < Pending.SentAt + OfferRetryInterval)
    return;
  if (!AwaitsAnswer) {
    const Member *Peer = this->selectPeer(Token);
    if (!Peer) {
      this->Offers.erase(Id);
      return;
    }
    Pending.To = Peer->Listing.Id;
    Pending.ResumeToken = Token;
  }
  Pending.SentAt = Now;
  Out.add(SendToPeer{Pending.To, StreamHandover{Token, ClientRequest->Team,
                                                ClientRequest->Head.Class,
                                                Running->Id, Running->Upstream,
                                                this->Requests->nextIndex(Id),
                                                ClientRequest->Deadline}});
}

const Member *
StreamHandovers::selectPeer(const std::string &ResumeToken) const {
  const Member *Best = nullptr;
  const auto Rank = [&](const Member &Peer) {
    return std::pair(Peer.Listing.Zone == this->Members->selfZone(),
                     rendezvousWeight(ResumeToken, Peer.Listing.Id.Value));
  };
  for (const Member &Peer : this->Members->peers()) {
    const bool Eligible = Peer.State == MemberState::Alive && Peer.Ready;
    if (Eligible && (!Best || Rank(Peer) > Rank(*Best)))
      Best = &Peer;
  }
  return Best;
}

const Member *StreamHandovers::livePeer(const HostId &Host) const {
  for (const Member &Peer : this->Members->peers())
    if (Peer.Listing.Id == Host && Peer.State != MemberState::Dead)
      return &Peer;
  return nullptr;
}

} // namespace banyanpick
