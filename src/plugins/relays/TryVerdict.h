/// \file
/// What follows from the way a try ended.
#pragma once

#include "plugins/relays/RunningRelay.h"

namespace banyanpick {

/// The caller has its answer.
struct RelayIsDone {};
/// Try another upstream, if the budget of repeats and the time allow it.
struct TryAgain {
  bool Arrived = false; ///< The upstream got it, so that the next one counts
                        ///< as a repeat.
};
/// Nothing more can be done; end it as it stands.
struct GiveUp {
  RefusalKind Kind = RefusalKind::NotRun;
};

using TryVerdict = std::variant<RelayIsDone, TryAgain, GiveUp>;

/// Judges by what the request's kind allows. Notes in \p Of where it ran or
/// did not.
TryVerdict verdictOn(RunningRelay &Of, const RelayAttempt &Ended,
                     const RelayOutcome &Outcome);

} // namespace banyanpick
