/// \file
/// The plug-in that stops a gateway without cutting requests off.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"

namespace banyanpick {

/// On a planned stop the host leaves the directory at once, goes on serving
/// callers that still have its address, and ends when nothing runs any more.
class DeparturePlugin : public Plugin, public DrainView {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;

  bool isLeaving() const override { return this->LeavingSince != Never; }

  static std::vector<SettingDeclaration> settings();

private:
  void leave(Time Now, Actions &Out);
  void checkFinished(Time Now, Actions &Out);

  Services *Offered = nullptr;
  const RelayCount *Running = nullptr;
  Duration Linger{};
  Duration Grace{};
  Duration CheckInterval{};
  Time LeavingSince = Never;
  Time NextCheck = Never;
  bool Ended = false;
};

} // namespace banyanpick
