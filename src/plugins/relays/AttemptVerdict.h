/// \file
/// What follows from the way a try ended.
#pragma once

#include "plugins/relays/RunningRelay.h"

namespace banyanpick {

/// The caller has its answer.
struct RelayCompleted {};
/// Try another upstream, if the budget of repeats and the time allow it.
struct RetryElsewhere {
  bool ReachedUpstream = false; ///< The upstream got it, so that the next one
                                ///< counts as a repeat.
};
/// Nothing more can be done; end it as it stands.
struct GiveUp {
  RefusalKind Kind = RefusalKind::NotRun;
};

using AttemptVerdict = std::variant<RelayCompleted, RetryElsewhere, GiveUp>;

/// Judges by what the request's kind allows. Notes in \p Of where it ran or
/// did not.
AttemptVerdict judgeAttempt(RunningRelay &Relay, const RelayAttempt &Attempt,
                            const RelayOutcome &Outcome);

} // namespace banyanpick
