/// \file
/// What peers say, as events for control.
#pragma once

#include "app/Control.h"
#include "metrics/Metrics.h"
#include "peers/PeerNetwork.h"

namespace banyanpick {

/// Passes messages on to \p Events; malformed ones are counted and logged. All
/// must outlive the peer network.
PeerNetwork::Listener peerEvents(Control &Events, Metrics &HostMetrics,
                                 const ProcessClock &Clock);

} // namespace banyanpick
