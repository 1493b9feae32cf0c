/// \file
/// Tracks work of this host and its peers that load reports may not show yet.
#pragma once

#include "kernel/Services.h"

#include <map>
#include <unordered_map>

namespace banyanpick {

/// The attempts of this host on one upstream.
struct OwnWork {
  std::uint64_t UnreportedPrefillTokens = 0;
  std::uint64_t Tokens = 0; ///< Prompt tokens and bounds of the output.
  std::uint32_t Requests = 0;
};

/// The work that peers report on one upstream.
struct PeerWork {
  std::uint64_t PrefillTokens = 0;
  std::uint32_t Requests = 0;
};

/// Tracks attempts from their dispatch to their end, and the latest work report
/// of each peer.
class WorkTracker {
public:
  void add(const Request &ClientRequest, const Attempt &Started);
  /// Records that the prefill of the attempt is done.
  void noteFirstToken(const AttemptId &Id);
  void remove(const AttemptId &Id);
  /// Records that a load report measured at \p MeasuredAt includes all attempts
  /// sent before.
  void noteReport(const UpstreamId &Target, Time MeasuredAt);

  /// Replaces the peer's previous report and returns the upstreams affected.
  std::vector<UpstreamId> applyPeerWork(const HostId &From,
                                        const WorkSent &Work, Time Now);
  /// Drops reports of peers older than \p Oldest and returns the upstreams
  /// affected.
  std::vector<UpstreamId> expirePeerWork(Time Oldest);

  OwnWork own(const UpstreamId &Target) const;
  PeerWork ofPeers(const UpstreamId &Target) const;
  /// Returns this host's work report with at most \p MaxUpstreams upstreams,
  /// those with the most prefill first.
  WorkSent ownReport(std::size_t MaxUpstreams) const;
  std::size_t attempts() const { return this->Attempts.size(); }

private:
  struct RunningAttempt {
    UpstreamId Target;
    Time SentAt{};
    std::uint64_t PrefillTokens = 0; ///< Neither reported nor done yet.
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
