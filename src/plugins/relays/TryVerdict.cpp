#include "plugins/relays/TryVerdict.h"

#include "base/Visitor.h"

namespace banyanpick {

namespace {

/// The first status that stands for a failure of the upstream: another one
/// may do better. Lower ones say that the request itself is wrong.
constexpr std::uint32_t FirstServerError = 500;

} // namespace

TryVerdict verdictOn(RunningRelay &Of, const RelayAttempt &Ended,
                     const RelayOutcome &Outcome) {
  return match(
      Outcome,
      [&](const RelayNeverSent &) -> TryVerdict {
        Of.NotRunOn.push_back(Ended.Engine);
        return TryAgain{false};
      },
      [&](const RelayNotRun &Is) -> TryVerdict {
        Of.NotRunOn.push_back(faultyEngine(Is, Ended.Engine, Ended.Helpers));
        return TryAgain{true};
      },
      [&](const RelayDelivered &Is) -> TryVerdict {
        Of.MaxEventGap = Is.MaxEventGap;
        return RelayIsDone{};
      },
      [&](const RelayFailed &Is) -> TryVerdict {
        Of.RanOn.push_back(Ended.Engine);
        Of.KeptFailure = Ended.Id;
        if (Is.Status >= FirstServerError && Of.mayRunAgain())
          return TryAgain{true};
        return GiveUp{RefusalKind::OutcomeUnknown};
      },
      [&](const RelayBroken &Is) -> TryVerdict {
        Of.RanOn.push_back(Ended.Engine);
        Of.Began = Of.Began || Is.Began;
        if (Is.LastEvent)
          Of.LastEvent = Is.LastEvent;
        if (Of.mayRunAgain())
          return TryAgain{true};
        return GiveUp{RefusalKind::OutcomeUnknown};
      });
}

} // namespace banyanpick
