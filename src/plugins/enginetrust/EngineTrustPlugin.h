/// \file
/// The plug-in that avoids engines that fail.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/enginetrust/PeerDistrust.h"
#include "plugins/enginetrust/TrustRecord.h"

#include <map>

namespace banyanpick {

/// Ejects engines that fail. An ejected engine gets an attempt again after its
/// ejection time; each further failure doubles the time, and one healthy answer
/// ends it. Hosts report to each other which engines they avoid.
class EngineTrustPlugin : public Plugin,
                          public EngineTrustView,
                          public RelayObserver,
                          public EngineObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &Received, Time Now, Actions &Out) override;

  bool isAvoided(const UpstreamId &Id, Time Now) const override;
  std::vector<EngineWork::Distrust> distrusted(Time Now) const override;
  void attemptBegan(const RelayAttempt &Attempt, Time Now,
                    Actions &Out) override;
  void attemptEnded(const RelayAttempt &Attempt, const RelayOutcome &Outcome,
                    Time Now, Actions &Out) override;
  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  void noteHealthy(const RelayAttempt &Attempt);
  void judge(const UpstreamId &Engine, const ServiceId &Service,
             TrustRecord::Verdict Verdict, Time Now, Actions &Out);

  /// Moving average of failures over a whole service.
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
