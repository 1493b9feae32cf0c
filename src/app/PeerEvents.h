/// \file
/// Forwards messages of peers to control as events.
#pragma once

#include "app/Control.h"
#include "metrics/Metrics.h"
#include "peers/PeerNetwork.h"

namespace banyanpick {

/// Returns a listener that forwards messages to \p Events, and counts and logs
/// malformed messages. All arguments must outlive the peer network.
PeerNetwork::Listener peerEvents(Control &Events, Metrics &HostMetrics,
                                 const ProcessClock &Clock);

} // namespace banyanpick
