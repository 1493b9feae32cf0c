/// \file
/// Decides how a relayed request continues after the end of an attempt.
#pragma once

#include "plugins/relays/RunningRelay.h"

namespace banyanpick {

/// The answer was delivered to the caller.
struct RelayCompleted {};
/// Retry on another upstream if the retry budget and the deadline allow it.
struct RetryElsewhere {
  bool ReachedUpstream = false; ///< The upstream received the attempt, so the
                                ///< next attempt counts against the budget.
};
/// No further attempt is allowed; the request ends in its current state.
struct GiveUp {
  RefusalKind Kind = RefusalKind::NotRun;
};

using AttemptVerdict = std::variant<RelayCompleted, RetryElsewhere, GiveUp>;

/// Returns what the request's kind allows after \p Outcome. Records in
/// \p Relay where the request ran or did not run.
AttemptVerdict judgeAttempt(RunningRelay &Relay, const RelayAttempt &Attempt,
                            const RelayOutcome &Outcome);

} // namespace banyanpick
