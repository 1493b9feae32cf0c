/// \file
/// Requests for the load reports of engines.
#pragma once

#include "kernel/GatewayServices.h"

namespace banyanpick {

/// Requests a load report from the engine. A report request also counts as a
/// request, so nothing is sent to an engine that limits requests, is blocked or
/// is not registered.
inline void requestReport(const UpstreamId &Engine,
                          const EngineDirectory &Directory,
                          const EngineGate &Gate, const EngineQuota &Quota,
                          Time Now, Actions &Out) {
  const RegisteredEngine *Registered = Directory.find(Engine);
  if (!Registered || Quota.isLimited(Engine) || Gate.blocked(Engine, Now))
    return;
  Out.add(GatewayAction(AskReport{Engine, Registered->Record.At}));
}

} // namespace banyanpick
