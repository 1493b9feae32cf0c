#include "plugins/drain/StreamHandovers.h"

#include "base/EventNumbers.h"
#include "base/RendezvousHash.h"

#include <algorithm>

namespace banyanpick {

namespace {

constexpr Duration OfferAgainAfter = milliseconds(500);

} // namespace

void StreamHandovers::offer(Time Now, Actions &Out) {
  std::erase_if(this->Offers, [this](const auto &Each) {
    return !this->Requests->find(Each.first);
  });
  for (const RequestId &Id : this->Requests->ids())
    this->offerOne(Id, Now, Out);
}

void StreamHandovers::taken(const HostId &By, const HandoverTaken &Answer,
                            Time Now, Actions &Out) {
  const auto Found = std::ranges::find_if(this->Offers, [&](const auto &Each) {
    return Each.second.ResumeToken == Answer.ResumeToken &&
           Each.second.To == By;
  });
  const Member *Peer = this->livePeer(By);
  if (Found == this->Offers.end() || !Peer)
    return;
  const RequestId Id = Found->first;
  this->Offers.erase(Found);
  Out.log(logEvent(events::StreamHandedOver)
              .with("request", Id.Value)
              .with("to", By.Value)
              .build());
  this->Requests->handOver(Id, Peer->Listing.Callers, Now, Out);
}

void StreamHandovers::offerOne(const RequestId &Id, Time Now, Actions &Out) {
  const Request *Asked = this->Requests->find(Id);
  const Attempt *Running = this->Requests->attemptOf(Id);
  const std::string Token = this->Requests->resumeToken(Id);
  // Memory of a group is held in this host's name and can't be passed on.
  if (!Asked || !Running || Token.empty() || !Running->Group.empty())
    return;
  Offer &Made = this->Offers[Id];
  const bool Waits = !Made.ResumeToken.empty() && this->livePeer(Made.To);
  if (Waits && Now < Made.SentAt + OfferAgainAfter)
    return;
  if (!Waits) {
    const Member *Peer = this->chosenPeer(Token);
    if (!Peer) {
      this->Offers.erase(Id);
      return;
    }
    Made.To = Peer->Listing.Id;
    Made.ResumeToken = Token;
  }
  Made.SentAt = Now;
  Out.add(SendToPeer{
      Made.To, StreamHandover{Token, Asked->Team, Asked->Head.Class,
                              Running->Id, Running->Upstream,
                              this->Requests->nextIndex(Id), Asked->Deadline}});
}

const Member *
StreamHandovers::chosenPeer(const std::string &ResumeToken) const {
  const Member *Best = nullptr;
  const auto Rank = [&](const Member &Of) {
    return std::pair(Of.Listing.Zone == this->Members->selfZone(),
                     rendezvousWeight(ResumeToken, Of.Listing.Id.Value));
  };
  for (const Member &Each : this->Members->peers()) {
    const bool Fit = Each.State == MemberState::Alive && Each.Ready;
    if (Fit && (!Best || Rank(Each) > Rank(*Best)))
      Best = &Each;
  }
  return Best;
}

const Member *StreamHandovers::livePeer(const HostId &Host) const {
  for (const Member &Each : this->Members->peers())
    if (Each.Listing.Id == Host && Each.State != MemberState::Dead)
      return &Each;
  return nullptr;
}

} // namespace banyanpick
