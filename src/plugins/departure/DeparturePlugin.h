/// \file
/// The plug-in that stops a gateway without interrupting requests.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"

namespace banyanpick {

/// On a planned stop the host is removed from the directory at once. It serves
/// callers that still have its address and exits when no request is running.
/// Requests that outlast the grace period get a final answer before its end.
class DeparturePlugin : public Plugin, public DrainView, public StopSchedule {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;

  bool isLeaving() const override { return this->LeavingSince != Never; }
  Time finalAnswersAt() const override;
  Time lateCallersFrom() const override;
  bool isExiting() const override { return this->Ended; }

  static std::vector<SettingDeclaration> settings();

private:
  void leave(Time Now, Actions &Out);
  void checkFinished(Time Now, Actions &Out);

  Services *Registry = nullptr;
  const RelayCount *Running = nullptr;
  Duration LateCallers{};
  Duration Linger{};
  Duration Grace{};
  Duration FinalAnswers{};
  Duration CheckInterval{};
  Time LeavingSince = Never;
  Time NextCheck = Never;
  bool Ended = false;
};

} // namespace banyanpick
