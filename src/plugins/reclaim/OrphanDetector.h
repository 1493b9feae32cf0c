/// \file
/// Memory on engines that nobody needs any more.
#pragma once

#include "kernel/Services.h"

#include <map>
#include <string_view>

namespace banyanpick {

/// How long something must look orphaned before it is freed.
struct OrphanGracePeriods {
  Duration Owner{};    ///< Its owner is dead, or does not know it.
  Duration Deadline{}; ///< Its own deadline is past.
  Duration Unknown{};  ///< Nobody knows its owner.
};

/// Who asks, and whom it may ask.
struct OrphanDetectorViews {
  const MembershipView *Members = nullptr;
  const RequestTable *Requests = nullptr;
  const GroupHolder *Groups = nullptr; ///< May be null.
};

/// Compares what an engine says it holds with the owners' liveness and the
/// deadlines. Freeing is idempotent, so it does no harm when two hosts do it.
class OrphanDetector {
public:
  OrphanDetector() = default;
  OrphanDetector(OrphanDetectorViews Views, OrphanGracePeriods GracePeriods)
      : Views(Views), GracePeriods(GracePeriods) {}

  /// What is to be freed now; each is named again while it stays. \p IsLeader
  /// false: only this host's own memory is judged.
  std::vector<HoldReport> findOrphans(const LoadReport &Report, bool IsLeader,
                                      Time Now);
  /// The upstream is gone or has another life.
  void forget(const UpstreamId &Engine) { this->Engines.erase(Engine); }

private:
  struct HoldKey {
    HoldKind Kind = HoldKind::Stream;
    std::uint64_t OwnerLife = 0;
    std::uint64_t Sequence = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
    auto operator<=>(const HoldKey &) const = default;
  };
  struct HoldState {
    Time FirstReportedAt{};
    Time OrphanSince = Never;
    Time NextAttemptAt{};
  };

  /// The grace for what looks orphaned; nothing while it looks needed.
  std::optional<Duration> gracePeriod(const HoldReport &Hold,
                                      const HoldState &State, bool IsLeader,
                                      Time Now) const;
  bool isUnknownHere(const HoldReport &Hold) const;
  std::optional<Duration> peerGracePeriod(const HoldReport &Hold,
                                          const HoldState &State) const;

  OrphanDetectorViews Views;
  OrphanGracePeriods GracePeriods;
  std::map<UpstreamId, std::map<HoldKey, HoldState>> Engines;
};

} // namespace banyanpick
