/// \file
/// The plug-in that keeps content that crashes upstreams away from them.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// Lets quarantined content run again at an operator's word.
class QuarantineControl {
public:
  virtual ~QuarantineControl() = default;
  /// Releases the content on this host and tells the others.
  virtual void release(Fingerprint Content, Time Now, Actions &Out) = 0;
};

/// Provides PoisonView and QuarantineControl, and refuses quarantined content.
class QuarantinePlugin : public Plugin,
                         public PoisonView,
                         public QuarantineControl,
                         public AdmissionGate,
                         public RequestObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;

  bool isSuspect(const Request &Asked, Time Now) const override;
  bool isQuarantined(Fingerprint Content, Time Now) const override;
  void release(Fingerprint Content, Time Now, Actions &Out) override;
  std::optional<NotRun> check(const Request &Asked, Time Now) override;
};

} // namespace banyanpick
