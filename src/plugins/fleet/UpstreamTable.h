/// \file
/// Every upstream with its life and state, and the indexes over them.
#pragma once

#include "kernel/Services.h"

#include <map>
#include <unordered_map>

namespace banyanpick {

/// When silence of an upstream is taken for more than silence.
struct UpstreamTimeouts {
  Duration StaleAfter{};    ///< Without a report its state is unknown.
  Duration DeadAfter{};     ///< Polled in vain for so long.
  Duration UnlistedGrace{}; ///< Out of the host list for so long: leaving.
  Duration ForgetAfter{};   ///< Out of the host list and silent: forgotten.
};

/// Who says that an upstream leaves or is dead.
enum class ReportSource { OwnObservation, Peer };

/// One upstream whose state or life changed.
struct UpstreamChange {
  std::uint32_t Index = 0;
  bool NotifyPeers = false;
};

/// The upstreams, ordered by name. A life that is leaving stays closed; only a
/// later life reopens.
class UpstreamTable {
public:
  UpstreamTable() = default;
  explicit UpstreamTable(UpstreamTimeouts Timeouts) : Timeouts(Timeouts) {}

  std::span<const Upstream> upstreams() const { return this->Upstreams; }
  Upstream &at(std::uint32_t Index) { return this->Upstreams[Index]; }
  /// Nothing known of that name: null.
  const std::uint32_t *position(const UpstreamId &Id) const;
  std::span<const std::uint32_t> enginesWith(const ModelId &Model) const;
  std::span<const std::uint32_t> applications(const std::string &Service) const;

  /// Takes the host list in; true when positions have changed.
  bool applyHostList(std::span<const UpstreamListing> Listed, Time Now);
  /// Takes in what the upstream answered to this host's own poll.
  void applyOwnReport(std::uint32_t Index, const LoadReport &Report, Time Now);
  /// Takes in a report that a peer passed on; it may be late.
  void applyRelayedReport(std::uint32_t Index, const LoadReport &Report,
                          Time Now);
  /// That life of the upstream takes no new work.
  void noteLeaving(std::uint32_t Index, Incarnation Life, ReportSource Source,
                   Time Now);
  /// A connection to the upstream was refused or reset.
  void noteRefused(std::uint32_t Index, Time Now);
  /// A peer found that life dead.
  void noteDead(std::uint32_t Index, Incarnation Life, Time Now);
  /// Judges the silent.
  void detectFailures(Time Now);

  /// What changed since the last call, ordered by position.
  std::vector<UpstreamChange> takeChanges();

private:
  struct UpstreamRecord {
    std::vector<Incarnation>
        PastIncarnations; ///< Lives that are over, the newest last.
    bool Leaving = false; ///< The present life was said to leave.
    bool Dead = false;
    Time DeadAt{};
    Time OwnReportAt{};
    Time UnlistedAt = Never;
    bool LastWasRelayed = false; ///< The last report came from a peer.
    std::uint32_t Refusals = 0;  ///< Since the last report.
    bool ReportedByPeer = false; ///< The last sign came from a peer.
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
  std::vector<UpstreamRecord> Records; ///< Beside Known.
  std::unordered_map<UpstreamId, std::uint32_t> Positions;
  std::unordered_map<ModelId, std::vector<std::uint32_t>> ByModel;
  std::unordered_map<std::string, std::vector<std::uint32_t>> ByService;
  std::map<UpstreamId, bool> Changed; ///< Whether peers should hear of it.
};

} // namespace banyanpick
