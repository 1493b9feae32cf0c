/// \file
/// The relayed requests of a host that stops.
#include "plugins/relays/PeerChoice.h"
#include "plugins/relays/RelaysPlugin.h"

namespace banyanpick {

namespace {

/// When the callers of a stopping host should come back if another host can
/// serve them.
constexpr milliseconds OtherHostRetryAfter(10);
/// The same if all known hosts stop. The first of them are back within the
/// spread, over which callers are distributed.
constexpr milliseconds RestartRetryAfter(1500);
constexpr milliseconds RestartRetrySpread(1500);

/// Answers may take this much longer than the longest recent one. While hosts
/// stop, their callers come to the others.
constexpr double UsualSlowdown = 1.25;
/// The same where several hosts stop at once, so that callers find no other
/// host, and all come again when the first ones are back.
constexpr double SlowdownOfManyStops = 8;

} // namespace

bool RelaysPlugin::canEndBeforeStop(const RunningRelay &Relay,
                                    Duration Predicted, Time Now) const {
  const Time StopAt = this->Stop->finalAnswersAt();
  // A stream that has begun can't be refused, and each event is progress.
  if (StopAt == Never || Relay.Began || Relay.Deadline <= StopAt)
    return true;
  const std::optional<Duration> Longest =
      this->Durations.longest(Relay.Route, Predicted);
  const double Slowdown =
      Now < this->Stop->lateCallersFrom() ? UsualSlowdown : SlowdownOfManyStops;
  return Longest && Now + fromSeconds(inSeconds(*Longest) * Slowdown) <= StopAt;
}

Duration RelaysPlugin::retryAfterStop() const {
  if (choosePeer(this->Members->peers(), this->Own.Zone, {},
                 *this->RandomSource))
    return OtherHostRetryAfter;
  return RestartRetryAfter + fromSeconds(inSeconds(RestartRetrySpread) *
                                         this->RandomSource->fraction());
}

void RelaysPlugin::finishForStop(RunningRelay &Relay, Time Now, Actions &Out) {
  this->finish(Relay, Relay.refusal(),
               "this host stops before an answer could end; ask another one",
               Now, Out, this->retryAfterStop());
}

void RelaysPlugin::finishBeforeExit(RunningRelay &Relay, Time Now,
                                    Actions &Out) {
  const bool Sent = Relay.LiveAttempt || Relay.mayHaveRun();
  this->finish(Relay, Sent ? RefusalKind::OutcomeUnknown : RefusalKind::NotRun,
               "this host exits before the answer ended; ask another one", Now,
               Out, this->retryAfterStop());
}

} // namespace banyanpick
