/// \file
/// The messages in which hosts report crashes and quarantines to each other.
#pragma once

#include "gateway/GatewayEvent.h"
#include "kernel/PeerMessage.h"
#include "plugins/crashes/CrashTracker.h"

namespace banyanpick {

/// Returns the notice of a crash. Times are sent as ages, so that the clocks of
/// hosts need not agree.
QuarantineNotice makeNotice(const ConfirmedCrash &Found, Time Now, Time Until);

/// Returns the crash that a notice reports.
ConfirmedCrash readNotice(const QuarantineNotice &Notice, Time Now);

/// Returns the notice of a quarantine that was read from the store. The store
/// does not keep which engines crashed.
QuarantineNotice makeStoredNotice(const StoredQuarantine &Stored, Time Until);

/// Whether the notice was made by makeStoredNotice().
bool isStoredNotice(const QuarantineNotice &Notice);

} // namespace banyanpick
