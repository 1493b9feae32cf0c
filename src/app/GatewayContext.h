/// \file
/// What the traffic thread of a gateway works with.
#pragma once

#include "app/EventSink.h"
#include "app/GatewaySettings.h"
#include "app/ProcessClock.h"
#include "metrics/Metrics.h"
#include "relay/GatewayProtocol.h"

namespace banyanpick {

/// The objects and settings that the traffic thread of a gateway uses.
struct GatewayContext {
  Identity Self;
  GatewaySettings Values;
  const GatewayProtocol &Protocol;
  EventSink &Events;
  Metrics &HostMetrics;
  const ProcessClock &Clock;
};

} // namespace banyanpick
