/// \file
/// The plug-in that frees engine memory nobody needs any more.
#pragma once

#include "kernel/Plugin.h"

#include <map>

namespace banyanpick {

/// Repeats cancels until the upstream confirms them.
class ReclaimPlugin : public Plugin, public AttemptCanceller {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;

  void cancel(const AttemptId &Id, const UpstreamId &Where, Time Deadline,
              Time Now, Actions &Out) override;

private:
  /// A cancel that is not confirmed yet.
  struct Pending {
    UpstreamId Where;
    Time GiveUpAt{};
    Time NextTry{};
  };

  void send(const AttemptId &Id, Pending &Of, Time Now, Actions &Out);
  void repeat(Time Now, Actions &Out);

  const FleetView *Fleet = nullptr;
  std::map<AttemptId, Pending> Cancels;
};

} // namespace banyanpick
