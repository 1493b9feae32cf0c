/// \file
/// Holds all upstreams with their incarnation and state, and indexes over them.
#pragma once

#include "kernel/Services.h"

#include <map>
#include <unordered_map>

namespace banyanpick {

/// Timeouts for the state of an upstream.
struct UpstreamTimeouts {
  Duration StaleAfter{};    ///< Without a report for this long: unknown.
  Duration DeadAfter{};     ///< Without a report for this long: dead.
  Duration UnlistedGrace{}; ///< Out of the host list for this long: leaving.
  Duration ForgetAfter{};   ///< Unlisted and silent for this long: removed.
};

/// The source of a report that an upstream is leaving or dead.
enum class ReportSource { OwnObservation, Peer };

/// An upstream whose state or incarnation changed.
struct UpstreamChange {
  std::uint32_t Index = 0;
  bool NotifyPeers = false;
};

/// The upstreams, ordered by name. An incarnation that is leaving never gets
/// new work again; only a later incarnation does.
class UpstreamTable {
public:
  UpstreamTable() = default;
  explicit UpstreamTable(UpstreamTimeouts Timeouts) : Timeouts(Timeouts) {}

  std::span<const Upstream> upstreams() const { return this->Upstreams; }
  Upstream &at(std::uint32_t Index) { return this->Upstreams[Index]; }
  /// Returns the position of the upstream, or null if the name is unknown.
  const std::uint32_t *position(const UpstreamId &Id) const;
  std::span<const std::uint32_t> enginesWith(const ModelId &Model) const;
  std::span<const std::uint32_t> applications(const std::string &Service) const;

  /// Applies the host list and returns whether positions have changed.
  bool applyHostList(std::span<const UpstreamListing> Listed, Time Now);
  /// Applies the answer of the upstream to this host's own poll.
  void applyOwnReport(std::uint32_t Index, const LoadReport &Report, Time Now);
  /// Applies a report relayed by a peer. The report may be out of date.
  void applyRelayedReport(std::uint32_t Index, const LoadReport &Report,
                          Time Now);
  /// Records that this incarnation of the upstream accepts no new work.
  void noteLeaving(std::uint32_t Index, Incarnation Life, ReportSource Source,
                   Time Now);
  /// Records that a connection to the upstream was refused or reset.
  void noteRefused(std::uint32_t Index, Time Now);
  /// Records that a peer found this incarnation dead.
  void noteDead(std::uint32_t Index, Incarnation Life, Time Now);
  /// Marks upstreams as dead or unknown that have sent no report in time.
  void detectFailures(Time Now);

  /// Returns the changes since the last call, ordered by position.
  std::vector<UpstreamChange> takeChanges();

private:
  struct UpstreamRecord {
    std::vector<Incarnation> PastIncarnations; ///< Newest last.
    bool Leaving = false; ///< The present incarnation was reported as leaving.
    bool Dead = false;
    Time DeadAt{};
    Time OwnReportAt{};
    Time UnlistedAt = Never;
    bool LastWasRelayed = false; ///< The last report came from a peer.
    std::uint32_t Refusals = 0;  ///< Since the last report.
    bool ReportedByPeer = false; ///< The last state report came from a peer.
  };

  bool applyListing(std::uint32_t Index, const UpstreamListing &Listing,
                    Time Now);
  void changeIncarnation(std::uint32_t Index, Incarnation Life);
  void storeReport(std::uint32_t Index, const LoadReport &Report, Time Now);
  UpstreamState stateOf(std::uint32_t Index, Time Now) const;
  void updateState(std::uint32_t Index, Time Now);
  void removeUnlisted(Time Now);
  void rebuildIndexes();

  UpstreamTimeouts Timeouts;
  std::vector<Upstream> Upstreams;
  std::vector<UpstreamRecord> Records; ///< In the same order as Upstreams.
  std::unordered_map<UpstreamId, std::uint32_t> Positions;
  std::unordered_map<ModelId, std::vector<std::uint32_t>> ByModel;
  std::unordered_map<std::string, std::vector<std::uint32_t>> ByService;
  std::map<UpstreamId, bool> Changed; ///< Whether to notify peers.
};

} // namespace banyanpick
