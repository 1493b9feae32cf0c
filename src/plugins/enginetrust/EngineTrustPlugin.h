/// \file
/// The plug-in that keeps work away from upstreams that fail it.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/enginetrust/PeerDistrust.h"
#include "plugins/enginetrust/TrustRecord.h"

#include <map>

namespace banyanpick {

/// An avoided upstream gets a try again after its pause; each further failure
/// doubles the pause, one sound answer ends it. Hosts tell each other what they
/// avoid.
class EngineTrustPlugin : public Plugin,
                          public EngineTrustView,
                          public RelayObserver,
                          public EngineObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;

  bool isAvoided(const UpstreamId &Id, Time Now) const override;
  std::vector<EngineWork::Distrust> distrusted(Time Now) const override;
  void attemptBegan(const RelayAttempt &Each, Time Now, Actions &Out) override;
  void attemptEnded(const RelayAttempt &Each, const RelayOutcome &Outcome,
                    Time Now, Actions &Out) override;
  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  void noteHealthy(const RelayAttempt &Each);
  void judge(const UpstreamId &Engine, const ServiceId &Service,
             TrustRecord::Verdict What, Time Now, Actions &Out);

  /// Moving average over a whole service.
  struct ServiceShare {
    double Failures = 0;
  };

  const EngineDirectory *Directory = nullptr;
  TrustLimits Limits;
  PeerDistrust Peers;
  std::map<UpstreamId, TrustRecord> Records;
  std::map<ServiceId, ServiceShare> Services;
};

} // namespace banyanpick
