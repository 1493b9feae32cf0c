#include "plugins/relays/RelayDispatch.h"

#include "plugins/relays/PeerChoice.h"

namespace banyanpick {

std::string_view reasonOf(const RetryLater &Refusal) {
  switch (Refusal.Reason) {
  case RetryLater::Why::TooLate:
    return "no engine can begin it in time; come back";
  case RetryLater::Why::Blocked:
    return "all engines are at rest or at limits; come back";
  case RetryLater::Why::NoHome:
    return "no engine is in a home region of the route and the team";
  }
  return "";
}

EngineRequirements engineRequirements(const RunningRelay &Relay,
                                      std::span<const UpstreamId> Excluded,
                                      Time Now) {
  EngineRequirements Result;
  Result.Request = Relay.Head.Id;
  Result.Service = Relay.Service;
  Result.PromptTokens = Relay.Head.PromptTokens;
  Result.OutputTokens = Relay.Head.MaxOutputTokens;
  Result.Objective = Relay.Terms.Objective;
  Result.MaxEventGap = Relay.Terms.MaxEventGap;
  Result.Waited = Now - Relay.ArrivedAt;
  Result.Left = Relay.Deadline - Now;
  Result.MayRetryLater = Relay.IsFirstCallerAttempt && Relay.Sends == 0;
  Result.Excluded = Excluded;
  if (Relay.Terms.Homes.isRestricted())
    Result.Homes = &Relay.Terms.Homes;
  return Result;
}

namespace {

/// Returns what attempts at engines and at other hosts have in common.
RelayAttempt attemptAt(const RunningRelay &Relay, UpstreamId Target,
                       const AttemptId &Id, Time Now) {
  RelayAttempt Result;
  Result.Id = Id;
  Result.Request = Relay.Head.Id;
  Result.Engine = std::move(Target);
  Result.Service = Relay.Service;
  Result.Content = Relay.Head.Content;
  Result.PromptParts = Relay.Head.PromptParts;
  Result.SentAt = Now;
  return Result;
}

/// Returns what orders to engines and to other hosts have in common.
DispatchRelay dispatchTo(const RunningRelay &Relay, const RelayAttempt &Attempt,
                         const Address &At) {
  DispatchRelay Result;
  Result.Attempt = Attempt.Id;
  Result.Request = Relay.Head.Id;
  Result.Engine = Attempt.Engine;
  Result.At = At;
  Result.Deadline = Relay.Deadline;
  Result.LastEvent = Relay.LastEvent;
  Result.Stream = Relay.Terms.Kind == RequestKind::Stream;
  return Result;
}

} // namespace

RelayAttempt makeAttempt(const RunningRelay &Relay,
                         const SelectedEngine &Chosen, const AttemptId &Id,
                         Time Now) {
  RelayAttempt Result = attemptAt(Relay, Chosen.Engine, Id, Now);
  Result.Helpers = Chosen.Helpers;
  Result.PromptTokens = Relay.Head.PromptTokens;
  Result.OutputTokens = Relay.Head.MaxOutputTokens;
  Result.Predicted = Chosen.Predicted;
  Result.MaxEventGap = Relay.Terms.MaxEventGap;
  return Result;
}

DispatchRelay makeDispatch(const RunningRelay &Relay,
                           const RelayAttempt &Attempt,
                           const SelectedEngine &Chosen,
                           const Address &EngineAddress,
                           const StreamSilenceLimits &Limits) {
  DispatchRelay Result = dispatchTo(Relay, Attempt, EngineAddress);
  Result.Team = Relay.Team;
  Result.DropKey = Relay.NeedsKey;
  Result.Urgency = Chosen.Urgency;
  Result.Helpers = Chosen.Helpers;
  // A request is lost when the upstream closes the reused connection at the
  // same moment. Only idempotent requests may take this risk.
  Result.Fresh = !Relay.isIdempotent();
  // Without a further attempt, cancelling a silent stream gains nothing.
  const bool CanResume = Relay.RanOn.size() + 1 < Relay.Terms.Attempts;
  if (Result.Stream && Relay.isIdempotent() && CanResume)
    Result.MaxSilence =
        Chosen.Helpers.empty() ? Limits.SinglePrefill : Limits.JointPrefill;
  return Result;
}

RelayAttempt makeForward(const RunningRelay &Relay, const HostId &Peer,
                         const AttemptId &Id, Time Now) {
  RelayAttempt Result = attemptAt(Relay, forwardTarget(Peer), Id, Now);
  Result.IsForward = true;
  return Result;
}

DispatchRelay makeForwardDispatch(const RunningRelay &Relay,
                                  const RelayAttempt &Attempt,
                                  const Address &PeerAddress) {
  DispatchRelay Result = dispatchTo(Relay, Attempt, PeerAddress);
  // A kept connection may be closed by the peer at the same moment; the request
  // would then be lost, since the peer may have sent it to an engine.
  Result.Fresh = true;
  Result.IsForward = true;
  return Result;
}

} // namespace banyanpick
