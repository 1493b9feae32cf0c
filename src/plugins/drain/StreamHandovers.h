/// \file
/// Hands the streams of this host over to peers.
#pragma once

#include "kernel/Services.h"

#include <map>

namespace banyanpick {

/// Offers each stream to one peer until that peer takes it. Another peer gets
/// the offer only when the first is dead, because two hosts that attach to one
/// stream would disconnect each other.
class StreamHandovers {
public:
  StreamHandovers() = default;
  StreamHandovers(const MembershipView &Members, RequestTable &Requests)
      : Members(&Members), Requests(&Requests) {}

  /// Offers all running streams that can be handed over, and repeats unanswered
  /// offers.
  void offer(Time Now, Actions &Out);
  /// Completes a handover: the peer serves the stream, and the caller is
  /// redirected to the peer.
  void handleTaken(const HostId &From, const HandoverTaken &Answer, Time Now,
                   Actions &Out);

  std::size_t pending() const { return this->Offers.size(); }

private:
  struct Offer {
    HostId To;
    std::string ResumeToken;
    Time SentAt{};
  };

  void offerOne(const RequestId &Id, Time Now, Actions &Out);
  /// Returns the peer to offer the stream to, or null if there is none.
  const Member *selectPeer(const std::string &ResumeToken) const;
  const Member *livePeer(const HostId &Host) const;

  const MembershipView *Members = nullptr;
  RequestTable *Requests = nullptr;
  std::map<RequestId, Offer> Offers;
};

} // namespace banyanpick
