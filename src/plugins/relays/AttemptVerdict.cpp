#include "plugins/relays/AttemptVerdict.h"

#include "base/Visitor.h"

namespace banyanpick {

namespace {

/// The lowest HTTP status that reports a failure of the upstream, which another
/// upstream may not have. Lower error statuses report an invalid request.
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
      [&](const RelayNotRun &NotRun) -> AttemptVerdict {
        Relay.NotRunOn.push_back(
            faultyEngine(NotRun, Attempt.Engine, Attempt.Helpers));
        return RetryElsewhere{true};
      },
      [&](const RelayDelivered &Delivered) -> AttemptVerdict {
        Relay.MaxEventGap = Delivered.MaxEventGap;
        return RelayCompleted{};
      },
      [&](const RelayFailed &Failed) -> AttemptVerdict {
        Relay.RanOn.push_back(Attempt.Engine);
        Relay.KeptFailure = Attempt.Id;
        if (Failed.Status >= FirstServerError && Relay.mayRunAgain())
          return RetryElsewhere{true};
        return GiveUp{RefusalKind::OutcomeUnknown};
      },
      [&](const RelayBroken &Broken) -> AttemptVerdict {
        Relay.RanOn.push_back(Attempt.Engine);
        Relay.Began = Relay.Began || Broken.Began;
        if (Broken.LastEvent)
          Relay.LastEvent = Broken.LastEvent;
        if (Relay.mayRunAgain())
          return RetryElsewhere{true};
        return GiveUp{RefusalKind::OutcomeUnknown};
      });
}

} // namespace banyanpick
