#include "plugins/relays/AttemptVerdict.h"

#include "base/Visitor.h"

namespace banyanpick {

namespace {

/// The first status that stands for a failure of the upstream: another one
/// may do better. Lower ones say that the request itself is wrong.
constexpr std::uint32_t FirstServerError = 500;

} // namespace

AttemptVerdict judgeAttempt(RunningRelay &Relay, const RelayAttempt &Attempt,
                            const RelayOutcome &Outcome) {
  return match(
      Outcome,
      [&](const RelayNeverSent &) -> AttemptVerdict {
        Relay.NotRunOn.push_back(Attempt.Engine);
        return RetryElsewhere{false};
      },
      [&](const RelayNotRun &Is) -> AttemptVerdict {
        Relay.NotRunOn.push_back(
            faultyEngine(Is, Attempt.Engine, Attempt.Helpers));
        return RetryElsewhere{true};
      },
      [&](const RelayDelivered &Is) -> AttemptVerdict {
        Relay.MaxEventGap = Is.MaxEventGap;
        return RelayCompleted{};
      },
      [&](const RelayFailed &Is) -> AttemptVerdict {
        Relay.RanOn.push_back(Attempt.Engine);
        Relay.KeptFailure = Attempt.Id;
        if (Is.Status >= FirstServerError && Relay.mayRunAgain())
          return RetryElsewhere{true};
        return GiveUp{RefusalKind::OutcomeUnknown};
      },
      [&](const RelayBroken &Is) -> AttemptVerdict {
        Relay.RanOn.push_back(Attempt.Engine);
        Relay.Began = Relay.Began || Is.Began;
        if (Is.LastEvent)
          Relay.LastEvent = Is.LastEvent;
        if (Relay.mayRunAgain())
          return RetryElsewhere{true};
        return GiveUp{RefusalKind::OutcomeUnknown};
      });
}

} // namespace banyanpick
