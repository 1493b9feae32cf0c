/// \file
/// The log lines and counters of a relayed request's way, each with what
/// decided it. docs/EVENTS.md lists the events.
#pragma once

#include "plugins/relays/RunningRelay.h"

#include <string_view>

namespace banyanpick {

void logReceived(const RunningRelay &Of, std::string_view RouteName, Time Now,
                 Actions &Out);
/// A request that is refused before anything is tried.
void logRefused(const RelayHead &Head, RefusalKind Kind, std::string_view Why,
                std::uint64_t Version, Actions &Out);
/// \p AtLimit engines were passed over, as they take no more now.
void logSent(const RunningRelay &Of, const RelayAttempt &Try,
             const RegisteredEngine &Engine, const SelectedEngine &Chosen,
             Actions &Out);
void logWaits(const RunningRelay &Of, Actions &Out);
void logAwaitsTurn(const RunningRelay &Of, Actions &Out);

void logTryEnded(const RunningRelay &Of, const RelayAttempt &Ended,
                 const RelayOutcome &Outcome, Time Now, Actions &Out);
void logEnd(const RunningRelay &Of, std::string_view How, std::string_view Why,
            Time Now, Actions &Out);

} // namespace banyanpick
