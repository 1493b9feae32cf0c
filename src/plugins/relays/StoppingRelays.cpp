/// \file
/// The relayed requests of a host that stops.
#include "plugins/relays/PeerChoice.h"
#include "plugins/relays/RelaysPlugin.h"
#include "plugins/relays/StopForecast.h"

namespace banyanpick {

namespace {

/// When the callers of a stopping host should come back if another host can
/// serve them.
constexpr milliseconds OtherHostRetryAfter(10);
/// The same if all known hosts stop. The first of them are back within the
/// spread, over which callers are distributed.
constexpr milliseconds RestartRetryAfter(1500);
constexpr milliseconds RestartRetrySpread(1500);

} // namespace

bool RelaysPlugin::canEndBeforeStop(const RunningRelay &Relay,
                                    Duration Predicted, Time Now) const {
  // A stream that has begun can't be refused, and each event is progress.
  if (!this->mayOutlastStop(Relay) || Relay.Began)
    return true;
  StoppingRequest Request;
  Request.UntilDeadline = Relay.Deadline - Now;
  Request.UntilStop = this->Stop->finalAnswersAt() - Now;
  Request.IsStream = Relay.Terms.Kind == RequestKind::Stream;
  // The prediction is that of the first event, not of a whole answer.
  Request.Expected = this->Durations.longest(
      Relay.Route, Request.IsStream ? Predicted : Duration(0),
      Relay.Head.MaxOutputTokens);
  Request.IsLate = Now >= this->Stop->lateCallersFrom();
  // No other host may take a request that may have run here.
  Request.OtherHostStays = !Relay.mayHaveRun() && this->otherHostStays();
  return maySendBeforeStop(Request);
}

bool RelaysPlugin::mayOutlastStop(const RunningRelay &Relay) const {
  return Relay.Deadline > this->Stop->finalAnswersAt();
}

bool RelaysPlugin::otherHostStays() const {
  return choosePeer(this->Members->peers(), this->Own.Zone, {},
                    *this->RandomSource) != nullptr;
}

Duration RelaysPlugin::retryAfterStop() const {
  if (this->otherHostStays())
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
