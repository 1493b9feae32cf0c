/// \file
/// The plug-in that keeps teams within their declared limits.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// An admission gate for each team's requests at once on this host.
class LimitsPlugin : public Plugin,
                     public AdmissionGate,
                     public RequestObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;

  std::optional<NotRun> check(const Request &Asked, Time Now) override;
};

} // namespace banyanpick
