/// \file
/// The plug-in `reclaim`, which frees engine memory that is no longer needed.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/fleet/EngineFollowers.h"
#include "plugins/reclaim/OrphanDetector.h"
#include "plugins/reclaim/PendingCancels.h"

namespace banyanpick {

/// Repeats cancels until they are confirmed. On the leader of an engine it also
/// frees memory that dead owners left there.
class ReclaimPlugin : public Plugin,
                      public AttemptCanceller,
                      public FleetObserver {
public:
  // Plugin
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->Cancels.nextDue(); }
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  void cancel(const AttemptId &Id, const UpstreamId &Target, Time Deadline,
              Time Now, Actions &Out) override;
  void upstreamChanged(const Upstream &Changed, Time Now,
                       Actions &Out) override;

  /// The settings with their defaults.
  static std::vector<SettingDeclaration> settings();

private:
  void handleReport(const LoadReport &Report, Time Now, Actions &Out);
  void freeHold(const Upstream &Target, const HoldReport &Hold, Actions &Out);

  Services *Registry = nullptr;
  const FleetView *Fleet = nullptr;
  const MembershipView *Members = nullptr;
  const RequestTable *Requests = nullptr;
  EngineFollowers Followers;
  OrphanGracePeriods GracePeriods;
  OrphanDetector Orphans;
  PendingCancels Cancels;
  std::map<UpstreamId, Incarnation> Incarnations;
};

} // namespace banyanpick
