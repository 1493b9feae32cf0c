#include "plugins/relays/AttemptVerdict.h"

#include "base/Visitor.h"

namespace banyanpick {

namespace {

/// The lowest HTTP status that reports a failure of the upstream, which another
/// upstream may not have. Lower error statuses report an invalid request.
constexpr std::uint32_t FirstServerError = 500;

/// Judges an attempt that was forwarded to another host. That host has made all
/// attempts that the request's kind allows, so only a request that certainly
/// did not run is sent again.
AttemptVerdict judgeForward(RunningRelay &Relay, const RelayAttempt &Attempt,
                            const RelayOutcome &Outcome) {
  const auto NotRunThere = [&]() -> AttemptVerdict {
    Relay.NotRunOn.push_back(Attempt.Engine);
    return RetryElsewhere{false};
  };
  return match(
      Outcome, [&](const RelayNeverSent &) { return NotRunThere(); },
      [&](const RelayNotRun &) { return NotRunThere(); },
      [&](const RelayDelivered &Delivered) -> AttemptVerdict {
        Relay.MaxEventGap = Delivered.MaxEventGap;
        return RelayCompleted{};
      },
      [&](const RelayFailed &) -> AttemptVerdict {
        Relay.RanOn.push_back(Attempt.Engine);
        Relay.KeptFailure = Attempt.Id;
        return GiveUp{RefusalKind::OutcomeUnknown};
      },
      [&](const RelayBroken &Broken) -> AttemptVerdict {
        Relay.RanOn.push_back(Attempt.Engine);
        Relay.Began = Relay.Began || Broken.Began;
        return GiveUp{RefusalKind::OutcomeUnknown};
      });
}

} // namespace

AttemptVerdict judgeAttempt(RunningRelay &Relay, const RelayAttempt &Attempt,
                            const RelayOutcome &Outcome) {
  if (Attempt.IsForward)
    return judgeForward(Relay, Attempt, Outcome);
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
        if (!claimsNotRun(Failed.Status))
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
