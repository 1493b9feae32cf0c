/// \file
/// Which peer to ask for what the log would tell.
#pragma once

#include "kernel/Services.h"

namespace banyanpick {

/// The peer to ask for records or for the catalogue: ready, not known dead,
/// with the highest offset in force, then the latest contact with the log.
/// Null when there is none.
const Member *bestPeer(const MembershipView &Members);

} // namespace banyanpick
