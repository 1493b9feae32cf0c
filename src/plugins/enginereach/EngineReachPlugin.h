/// \file
/// The plug-in that detects that this host is partitioned from the engines of a
/// service.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/enginereach/ServiceReach.h"

#include <map>

namespace banyanpick {

/// Collects the answers and failures of engines by service. While a service
/// seems to be out of reach, asks its engines for reports in turn, so that the
/// end of the partition is detected without a caller's request. Requests that
/// wait for their first answer for long cause the same, as connections may hang
/// instead of failing.
class EngineReachPlugin : public Plugin,
                          public EngineReachView,
                          public RelayObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->NextProbe; }

  bool isCutOff(const ServiceId &Service, Time Now) const override;
  bool isCutOff(Time Now) const override;
  void engineDied(const UpstreamId &Engine) override;

  void attemptSent(const RelayAttempt &Attempt, Time Now,
                   Actions &Out) override;
  void attemptBegan(const RelayAttempt &Attempt, Time Now,
                    Actions &Out) override;
  void attemptEnded(const RelayAttempt &Attempt, const RelayOutcome &Outcome,
                    Time Now, Actions &Out) override;

  void attemptCancelled(const RelayAttempt &Attempt, Time Now,
                        Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  struct Service {
    ServiceReach Reach;
    Time ProbedAt{};
    std::size_t NextEngine = 0; ///< Index of the engine that is probed next.
    bool WasCutOff = false;     ///< As last logged.
  };

  void takeReport(const GatewayEvent &Answer, Time Now);
  void noteAnswer(Service &State, const UpstreamId &Engine, Time Now);
  /// Asks engines of the services that are or may be out of reach for reports.
  void probe(Time Now, Actions &Out);
  /// Asks up to \p MaxCount engines of the service, in turn.
  void askForReports(const ServiceId &Id, Service &State, std::size_t MaxCount,
                     Time Now, Actions &Out) const;
  /// Returns when the service is probed next, or Never.
  Time probeDue(const Service &State, Time Now) const;
  /// Logs whether the service has come in or out of reach. Returns whether it
  /// has.
  bool updateState(const ServiceId &Id, Service &State, Time Now,
                   Actions &Out) const;

  const EngineDirectory *Directory = nullptr;
  const EngineGate *Gate = nullptr;
  const EngineQuota *Quota = nullptr;
  Duration ProbeInterval{};
  Duration SilenceLimit{};
  std::map<ServiceId, Service> Services;
  Time NextProbe = Never;
};

} // namespace banyanpick
