/// \file
/// Work that load reports may not show yet: this host's and its peers'.
#pragma once

#include "kernel/Services.h"

#include <map>
#include <unordered_map>

namespace banyanpick {

/// What of this host's attempts one upstream has.
struct OwnWork {
  std::uint64_t UnreportedPrefillTokens = 0;
  std::uint64_t Tokens = 0; ///< Prompt and output bounds.
  std::uint32_t Requests = 0;
};

/// What peers say they have on one upstream.
struct PeerWork {
  std::uint64_t PrefillTokens = 0;
  std::uint32_t Requests = 0;
};

/// Keeps attempts from their dispatch to their end, and the latest word of
/// each peer.
class WorkTracker {
public:
  void add(const Request &ClientRequest, const Attempt &Started);
  /// The prefill is done: nothing of it is ahead any more.
  void noteFirstToken(const AttemptId &Id);
  void remove(const AttemptId &Id);
  /// A report measured then shows what was sent before.
  void noteReport(const UpstreamId &Target, Time MeasuredAt);

  /// Replaces what the peer said before; returns the upstreams concerned.
  std::vector<UpstreamId> applyPeerWork(const HostId &From,
                                        const WorkSent &Work, Time Now);
  /// Drops what peers said before that time; returns the upstreams concerned.
  std::vector<UpstreamId> expirePeerWork(Time Oldest);

  OwnWork own(const UpstreamId &Target) const;
  PeerWork ofPeers(const UpstreamId &Target) const;
  /// At most \p Most upstreams, those with the most prefill first.
  WorkSent ownReport(std::size_t MaxUpstreams) const;
  std::size_t attempts() const { return this->Attempts.size(); }

private:
  struct RunningAttempt {
    UpstreamId Target;
    Time SentAt{};
    std::uint64_t PrefillTokens = 0; ///< Not yet reported or done.
    std::uint64_t Tokens = 0;
  };
  struct PeerReport {
    Time ReceivedAt{};
    std::vector<WorkSent::Item> Items;
  };

  void settlePrefill(RunningAttempt &Running);
  std::vector<UpstreamId> subtractReport(const PeerReport &Report);

  std::unordered_map<AttemptId, RunningAttempt> Attempts;
  std::unordered_map<UpstreamId, std::vector<AttemptId>> ByUpstream;
  std::unordered_map<UpstreamId, OwnWork> Own;
  std::unordered_map<UpstreamId, PeerWork> Peers;
  std::map<HostId, PeerReport> PeerReports;
};

} // namespace banyanpick
