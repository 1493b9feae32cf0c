/// \file
/// The plug-in that frees engine memory nobody needs any more.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/fleet/EngineFollowers.h"
#include "plugins/reclaim/OrphanWatch.h"
#include "plugins/reclaim/PendingCancels.h"

namespace banyanpick {

/// Repeats cancels until they are confirmed; as the steward of an engine also
/// frees what dead owners left there.
class ReclaimPlugin : public Plugin,
                      public AttemptCanceller,
                      public FleetObserver {
public:
  // Plugin
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->Cancels.nextDue(); }
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  void cancel(const AttemptId &Id, const UpstreamId &Where, Time Deadline,
              Time Now, Actions &Out) override;
  void upstreamChanged(const Upstream &Changed, Time Now,
                       Actions &Out) override;

  /// The settings with their defaults.
  static std::vector<SettingDeclaration> settings();

private:
  void takeReport(const LoadReport &Report, Time Now, Actions &Out);
  void free(const Upstream &Where, const HoldReport &Hold, Actions &Out);

  Services *Offered = nullptr;
  const FleetView *Fleet = nullptr;
  const MembershipView *Members = nullptr;
  const RequestTable *Requests = nullptr;
  EngineFollowers Followers;
  OrphanGraces Graces;
  OrphanWatch Orphans;
  PendingCancels Cancels;
  std::map<UpstreamId, Incarnation> Lives;
};

} // namespace banyanpick
