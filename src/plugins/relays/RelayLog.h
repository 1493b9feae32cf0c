/// \file
/// The log lines and counters of a relayed request's way, each with what
/// decided it. docs/EVENTS.md lists the events.
#pragma once

#include "plugins/relays/RunningRelay.h"

#include <string_view>

namespace banyanpick {

void logReceived(const RunningRelay &Relay, std::string_view RouteName,
                 Time Now, Actions &Out);
/// A request that is refused before anything is tried.
void logRefused(const RelayHead &Head, RefusalKind Kind,
                std::string_view Reason, std::uint64_t Version, Actions &Out);
/// \p AtLimit engines were passed over, as they take no more now.
void logSent(const RunningRelay &Relay, const RelayAttempt &Attempt,
             const RegisteredEngine &Engine, const SelectedEngine &Chosen,
             Actions &Out);
void logWaiting(const RunningRelay &Relay, Actions &Out);
void logQueued(const RunningRelay &Relay, Actions &Out);

void logAttemptEnded(const RunningRelay &Relay, const RelayAttempt &Ended,
                     const RelayOutcome &Outcome, Time Now, Actions &Out);
void logEnd(const RunningRelay &Relay, std::string_view How,
            std::string_view Reason, Time Now, Actions &Out);

} // namespace banyanpick
