/// \file
/// Writes the log lines and counters of relayed requests, each with the values
/// behind the decision. docs/EVENTS.md lists the events.
#pragma once

#include "kernel/GatewayServices.h"
#include "plugins/relays/RunningRelay.h"

#include <string_view>

namespace banyanpick {

void logReceived(const RunningRelay &Relay, Time Now, Actions &Out);
/// Logs a request that is refused before its first attempt. \p Routes decides
/// with which configuration, and how current that is.
void logRefused(const RelayHead &Head, RefusalKind Kind,
                std::string_view Reason, const RouteView &Routes, Time Now,
                Actions &Out);
/// \p Chosen counts the engines that were skipped because they are at their
/// limit.
void logSent(const RunningRelay &Relay, const RelayAttempt &Attempt,
             const RegisteredEngine &Engine, const SelectedEngine &Chosen,
             Actions &Out);
/// Logs that the request is forwarded to the host that \p Attempt names.
void logForwarded(const RunningRelay &Relay, const RelayAttempt &Attempt,
                  Actions &Out);
void logWaiting(const RunningRelay &Relay, Actions &Out);
void logQueued(const RunningRelay &Relay, Actions &Out);

void logAttemptEnded(const RunningRelay &Relay, const RelayAttempt &Ended,
                     const RelayOutcome &Outcome, Time Now, Actions &Out);
void logEnd(const RunningRelay &Relay, std::string_view Result,
            std::string_view Reason, Time Now, Actions &Out);

} // namespace banyanpick
