/// \file
/// Selects the peer to request records or the catalogue from.
#pragma once

#include "kernel/Services.h"

namespace banyanpick {

/// Returns the peer to request records or the catalogue from: the ready peer,
/// not known to be dead, with the highest offset in force, then with the latest
/// contact with the log. Returns null when there is none.
const Member *bestPeer(const MembershipView &Members);

} // namespace banyanpick
