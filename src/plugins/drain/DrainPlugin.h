/// \file
/// The plug-in that carries out a planned stop.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/drain/StreamHandovers.h"

namespace banyanpick {

/// On a planned stop this host is removed from resolve answers at once. It
/// refuses new work when the last of these answers has expired, hands long
/// streams over to peers, and exits when no request is running. On other hosts
/// the plug-in takes such streams over.
class DrainPlugin : public Plugin, public DrainView, public AdmissionGate {
public:
  // Plugin
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->NextCheck; }
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  bool isLeaving() const override { return this->Leaving; }
  std::optional<NotRun> check(const Request &ClientRequest, Time Now) override;

  /// The settings with their defaults.
  static std::vector<SettingDeclaration> settings();

private:
  void beginStop(Time Now, Actions &Out);
  void handlePeerMessage(const PeerMessage &Message, Time Now, Actions &Out);
  void adopt(const HostId &From, const StreamHandover &Stream, Time Now,
             Actions &Out);
  void continueStop(Time Now, Actions &Out);
  void stop(Actions &Out);

  Services *Registry = nullptr;
  RequestTable *Requests = nullptr;
  const FleetView *Fleet = nullptr;
  LogWriter *Log = nullptr;
  StreamHandovers Handovers;
  Duration Grace{};
  Duration HandOverAfter{};
  Duration Budget{};
  Duration Linger{};
  bool Leaving = false;
  bool Stopped = false;
  Time StopRequestedAt = Never;
  Time RefuseFrom = Never;
  Time IdleSince = Never;
  Time NextCheck = Never;
};

} // namespace banyanpick
