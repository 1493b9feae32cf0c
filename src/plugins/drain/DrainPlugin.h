/// \file
/// The plug-in that carries out a planned stop.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// Leaves resolve answers, refuses new work after a grace, ends when idle.
class DrainPlugin : public Plugin, public DrainView, public AdmissionGate {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;

  bool isLeaving() const override { return this->Leaving; }
  std::optional<NotRun> check(const Request &Asked, Time Now) override;

private:
  Services *Offered = nullptr;
  const RequestTable *Requests = nullptr;
  Duration Grace{};
  bool Leaving = false;
  bool Stopped = false;
  Time RefuseFrom = Never;
  Time NextLook = Never;
};

} // namespace banyanpick
