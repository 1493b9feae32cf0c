#include "plugins/relays/RelayOrders.h"

namespace banyanpick {

EngineRequirements wantedFor(const RunningRelay &Of,
                             std::span<const UpstreamId> Excluded, Time Now) {
  EngineRequirements Result;
  Result.Request = Of.Head.Id;
  Result.Service = Of.Service;
  Result.PromptTokens = Of.Head.PromptTokens;
  Result.OutputTokens = Of.Head.MaxOutputTokens;
  Result.Objective = Of.Terms.Objective;
  Result.MaxEventGap = Of.Terms.MaxEventGap;
  Result.Waited = Now - Of.ArrivedAt;
  Result.Left = Of.Deadline - Now;
  Result.MayRetryLater = Of.IsFirstCallerAttempt && Of.Sends == 0;
  Result.Excluded = Excluded;
  return Result;
}

RelayAttempt makeTry(const RunningRelay &Of, const SelectedEngine &Chosen,
                     const AttemptId &Id, Time Now) {
  RelayAttempt Result;
  Result.Id = Id;
  Result.Request = Of.Head.Id;
  Result.Engine = Chosen.Engine;
  Result.Service = Of.Service;
  Result.Helpers = Chosen.Helpers;
  Result.PromptTokens = Of.Head.PromptTokens;
  Result.OutputTokens = Of.Head.MaxOutputTokens;
  Result.Content = Of.Head.Content;
  Result.SentAt = Now;
  Result.Predicted = Chosen.Predicted;
  Result.MaxEventGap = Of.Terms.MaxEventGap;
  return Result;
}

DispatchRelay makeOrder(const RunningRelay &Of, const RelayAttempt &Try,
                        const SelectedEngine &Chosen, const Address &At,
                        const StreamSilence &Most) {
  DispatchRelay Result;
  Result.Attempt = Try.Id;
  Result.Request = Of.Head.Id;
  Result.Engine = Chosen.Engine;
  Result.At = At;
  Result.Team = Of.Team;
  Result.DropKey = Of.NeedsKey;
  Result.Deadline = Of.Deadline;
  Result.Urgency = Chosen.Urgency;
  Result.LastEvent = Of.LastEvent;
  Result.Helpers = Chosen.Helpers;
  // A kept connection that its upstream closes meanwhile loses the request;
  // only what may run twice can bear that.
  Result.Fresh = !Of.isIdempotent();
  Result.Stream = Of.Terms.Kind == RequestKind::Stream;
  // Without another try there is nothing to gain by giving up.
  const bool MayGoOn = Of.RanOn.size() + 1 < Of.Terms.Attempts;
  if (Result.Stream && Of.isIdempotent() && MayGoOn)
    Result.MaxSilence = Chosen.Helpers.empty() ? Most.Alone : Most.Shared;
  return Result;
}

} // namespace banyanpick
