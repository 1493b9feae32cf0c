/// \file
/// The relayed requests of a host that stops.
#include "plugins/relays/RelaysPlugin.h"

namespace banyanpick {

namespace {

/// When the callers of a stopping host should come back. Another host can serve
/// them at once.
constexpr milliseconds StopRetryAfter(10);

/// Answers take this much longer than the longest recent one at most. While
/// hosts stop, fewer hosts place the work of all callers.
constexpr double SlowdownAtStop = 1.25;

} // namespace

bool RelaysPlugin::canEndBeforeStop(const RunningRelay &Relay,
                                    Duration Predicted, Time Now) const {
  const Time StopAt = this->Stop->finalAnswersAt();
  // A stream that has begun can't be refused, and each event is progress.
  if (StopAt == Never || Relay.Began || Relay.Deadline <= StopAt)
    return true;
  const std::optional<Duration> Longest =
      this->Durations.longest(Relay.Route, Predicted);
  return Longest &&
         Now + fromSeconds(inSeconds(*Longest) * SlowdownAtStop) <= StopAt;
}

void RelaysPlugin::finishForStop(RunningRelay &Relay, Time Now, Actions &Out) {
  this->finish(Relay, Relay.refusal(),
               "this host stops before an answer could end; ask another one",
               Now, Out, StopRetryAfter);
}

void RelaysPlugin::finishBeforeExit(RunningRelay &Relay, Time Now,
                                    Actions &Out) {
  const bool Sent = Relay.LiveAttempt || Relay.mayHaveRun();
  this->finish(Relay, Sent ? RefusalKind::OutcomeUnknown : RefusalKind::NotRun,
               "this host exits before the answer ended; ask another one", Now,
               Out, StopRetryAfter);
}

} // namespace banyanpick
