/// \file
/// Detects memory on engines that no request needs any more.
#pragma once

#include "kernel/Services.h"

#include <map>
#include <string_view>

namespace banyanpick {

/// How long memory must look orphaned before it is freed.
struct OrphanGracePeriods {
  Duration Owner{};    ///< The owner is dead, or has no record of it.
  Duration Deadline{}; ///< The hold's own deadline is past.
  Duration Unknown{};  ///< No host knows the owner.
};

/// The views that the detector reads.
struct OrphanDetectorViews {
  const MembershipView *Members = nullptr;
  const RequestTable *Requests = nullptr;
  const GroupHolder *Groups = nullptr; ///< May be null.
};

/// Compares the holds that an engine reports with the liveness of their owners
/// and with the deadlines. Freeing is idempotent, so two hosts may free the
/// same hold.
class OrphanDetector {
public:
  OrphanDetector() = default;
  OrphanDetector(OrphanDetectorViews Views, OrphanGracePeriods GracePeriods)
      : Views(Views), GracePeriods(GracePeriods) {}

  /// Returns the holds to free now. A hold is returned again while the engine
  /// reports it. If \p IsLeader is false, only this host's own holds are
  /// checked.
  std::vector<HoldReport> findOrphans(const LoadReport &Report, bool IsLeader,
                                      Time Now);
  /// Called when the upstream was removed or has restarted.
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

  /// Returns the grace period of a hold that looks orphaned, or nothing while
  /// it looks needed.
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
