#include "plugins/relays/AttemptVerdict.h"

#include "base/Visitor.h"

#include <algorithm>
#include <array>

namespace banyanpick {

namespace {

/// The lowest HTTP status that reports a failure of the upstream, which another
/// upstream may not have. Lower error statuses report an invalid request.
constexpr std::uint32_t FirstServerError = 500;

/// Returns whether callers read the status as "the request never ran". An
/// engine that ran the request and failed may answer with it nevertheless; its
/// caller would send the request again.
bool claimsNotRun(std::uint32_t Status) {
  constexpr std::array<std::uint32_t, 4> NotRunStatuses{408, 421, 429, 503};
  return std::ranges::count(NotRunStatuses, Status) != 0;
}

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
