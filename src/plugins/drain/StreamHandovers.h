/// \file
/// Streams of this host that peers shall go on serving.
#pragma once

#include "kernel/Services.h"

#include <map>

namespace banyanpick {

/// Offers each stream to one peer until that peer takes it. Another peer is
/// tried only when the first is dead: two that attach to one stream would cut
/// each other off.
class StreamHandovers {
public:
  StreamHandovers() = default;
  StreamHandovers(const MembershipView &Members, RequestTable &Requests)
      : Members(&Members), Requests(&Requests) {}

  /// Offers what runs and can be handed over, again where no answer came.
  void offer(Time Now, Actions &Out);
  /// The peer serves the stream; its caller is told where to go on.
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
  /// The peer to offer the stream to; null: there is none.
  const Member *selectPeer(const std::string &ResumeToken) const;
  const Member *livePeer(const HostId &Host) const;

  const MembershipView *Members = nullptr;
  RequestTable *Requests = nullptr;
  std::map<RequestId, Offer> Offers;
};

} // namespace banyanpick
