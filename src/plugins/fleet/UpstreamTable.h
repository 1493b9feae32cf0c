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
enum class SignSource { OwnExperience, Peer };

/// One upstream whose state or life changed.
struct UpstreamChange {
  std::uint32_t At = 0;
  bool TellPeers = false;
};

/// The upstreams, ordered by name. A life that is leaving stays closed; only a
/// later life reopens.
class UpstreamTable {
public:
  UpstreamTable() = default;
  explicit UpstreamTable(UpstreamTimeouts Timeouts) : Timeouts(Timeouts) {}

  std::span<const Upstream> upstreams() const { return this->Known; }
  Upstream &at(std::uint32_t At) { return this->Known[At]; }
  /// Nothing known of that name: null.
  const std::uint32_t *position(const UpstreamId &Id) const;
  std::span<const std::uint32_t> enginesWith(const ModelId &Model) const;
  std::span<const std::uint32_t> applications(const std::string &Service) const;

  /// Takes the host list in; true when positions have changed.
  bool takeList(std::span<const UpstreamListing> Listed, Time Now);
  /// Takes in what the upstream answered to this host's own poll.
  void takeOwnReport(std::uint32_t At, const LoadReport &Report, Time Now);
  /// Takes in a report that a peer passed on; it may be late.
  void takeRelayedReport(std::uint32_t At, const LoadReport &Report, Time Now);
  /// That life of the upstream takes no new work.
  void noteLeaving(std::uint32_t At, Incarnation Life, SignSource From,
                   Time Now);
  /// A connection to the upstream was refused or reset.
  void noteRefused(std::uint32_t At, Time Now);
  /// A peer found that life dead.
  void noteDead(std::uint32_t At, Incarnation Life, Time Now);
  /// Judges the silent.
  void age(Time Now);

  /// What changed since the last call, ordered by position.
  std::vector<UpstreamChange> takeChanges();

private:
  struct Record {
    std::vector<Incarnation> Past; ///< Lives that are over, the newest last.
    bool Leaving = false;          ///< The present life was said to leave.
    bool Dead = false;
    Time DeadAt{};
    Time OwnReportAt{};
    Time UnlistedAt = Never;
    bool LastWasRelayed = false; ///< The last report came from a peer.
    std::uint32_t Refusals = 0;  ///< Since the last report.
    bool HeardFromPeer = false;  ///< The last sign came from a peer.
  };

  bool takeListing(std::uint32_t At, const UpstreamListing &Listing, Time Now);
  void changeLife(std::uint32_t At, Incarnation Life);
  void store(std::uint32_t At, const LoadReport &Report, Time Now);
  UpstreamState stateOf(std::uint32_t At, Time Now) const;
  void publish(std::uint32_t At, Time Now);
  void forgetUnlisted(Time Now);
  void rebuildIndexes();

  UpstreamTimeouts Timeouts;
  std::vector<Upstream> Known;
  std::vector<Record> Records; ///< Beside Known.
  std::unordered_map<UpstreamId, std::uint32_t> Positions;
  std::unordered_map<ModelId, std::vector<std::uint32_t>> ByModel;
  std::unordered_map<std::string, std::vector<std::uint32_t>> ByService;
  std::map<UpstreamId, bool> Changed; ///< Whether peers should hear of it.
};

} // namespace banyanpick
