#include "plugins/requests/AttemptEndHandler.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"

#include <algorithm>

namespace banyanpick {

namespace {

std::string_view outcomeName(const AttemptOutcome &Outcome) {
  return match(
      Outcome, [](const AttemptComplete &) { return "complete"; },
      [](const AttemptRefused &) { return "refused"; },
      [](const AttemptNeverSent &) { return "never-sent"; },
      [](const AttemptBroken &) { return "broken"; },
      [](const AttemptFailed &) { return "failed"; });
}

/// Whether it is certain that the upstream did not begin.
bool surelyNotStarted(const AttemptOutcome &Outcome) {
  return std::holds_alternative<AttemptRefused>(Outcome) ||
         std::holds_alternative<AttemptNeverSent>(Outcome);
}

void logFailure(const RunningRequest &Of, const Attempt &Try,
                const AttemptOutcome &Outcome, Actions &Out) {
  Out.count("attempts_failed", outcomeName(Outcome));
  Out.log(logEvent(events::AttemptFailed)
              .with("request", Of.Asked.id().Value)
              .with("upstream", Try.Upstream.Value)
              .with("outcome", outcomeName(Outcome))
              .with("next_index", Of.NextIndex)
              .build());
}

} // namespace

void AttemptEndHandler::progressed(const AttemptProgressed &Progress, Time Now,
                                   Actions &Out) {
  RunningRequest *Found = this->Table.findByAttempt(Progress.Attempt);
  if (!Found) {
    Out.count("stale_progress");
    return;
  }
  Found->NextIndex = std::max(Found->NextIndex, Progress.NextIndex);
  if (Found->FirstTokenSeen)
    return;
  Found->FirstTokenSeen = true;
  const Duration Took = Now - Found->Asked.ArrivedAt;
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Histogram,
                            "time_to_first_token_seconds",
                            Found->Asked.Head.Class.Value, inSeconds(Took)});
  if (Now > Found->Asked.FirstTokenBy)
    Out.count("first_token_promises_missed", Found->Asked.Head.Class.Value);
  const Attempt Running = *Found->attempt();
  for (RequestObserver *Each : this->Dependencies.Observers.all())
    Each->firstToken(Found->Asked, Running, Now, Out);
}

void AttemptEndHandler::ended(const AttemptEnded &End, Time Now, Actions &Out) {
  RunningRequest *Found = this->Table.findByAttempt(End.Attempt);
  if (!Found) {
    Out.count("stale_attempt_ends");
    return;
  }
  const Attempt Ended = *Found->attempt();
  const bool FirstTry = Found->Tries == 1;
  this->Table.setPhase(*Found, InQueue{});
  if (const auto *Broken = std::get_if<AttemptBroken>(&End.Outcome))
    Found->NextIndex = std::max(Found->NextIndex, Broken->NextIndex);
  if (!std::holds_alternative<AttemptComplete>(End.Outcome))
    logFailure(*Found, Ended, End.Outcome, Out);
  if (!surelyNotStarted(End.Outcome))
    this->Dependencies.Groups.release(Found->Asked.id(), Now, Out);
  this->cancelIfRunning(Ended, End.Outcome, Found->Asked.Deadline, Now, Out);
  Found->Excluded.insert(Ended.Upstream);
  for (RequestObserver *Each : this->Dependencies.Observers.all())
    Each->attemptEnded(Found->Asked, Ended, End.Outcome, Now, Out);
  match(
      End.Outcome,
      [&](const AttemptComplete &How) {
        this->complete(*Found, How, Now, Out);
      },
      [&](const AttemptRefused &) {
        this->notStarted(*Found, FirstTry, Now, Out);
      },
      [&](const AttemptNeverSent &) {
        this->notStarted(*Found, FirstTry, Now, Out);
      },
      [&](const AttemptBroken &) { this->broken(*Found, Now, Out); },
      [&](const AttemptFailed &How) { this->failed(*Found, How, Now, Out); });
}

void AttemptEndHandler::upstreamDied(const UpstreamId &Id, Incarnation Life,
                                     Time Now, Actions &Out) {
  for (const AttemptId &Each : this->Table.attemptsOn(Id, Life))
    this->ended(AttemptEnded{Each, AttemptBroken{}}, Now, Out);
}

void AttemptEndHandler::cancelIfRunning(const Attempt &Ended,
                                        const AttemptOutcome &Outcome,
                                        Time Deadline, Time Now, Actions &Out) {
  const auto *Broken = std::get_if<AttemptBroken>(&Outcome);
  const Upstream *Where = this->Dependencies.Fleet.find(Ended.Upstream);
  if (!Broken || Broken->UpstreamDied || !Where ||
      Where->Listing.Kind != UpstreamKind::Engine)
    return;
  this->Dependencies.Canceller.cancel(Ended.Id, Ended.Upstream, Deadline, Now,
                                      Out);
}

void AttemptEndHandler::complete(RunningRequest &Of, const AttemptComplete &End,
                                 Time Now, Actions &Out) {
  if (!Of.Asked.Class.Idempotent)
    this->Dependencies.Claims.finish(Of.Asked, OutcomeRecord::Kind::Done,
                                     End.Result, Now, Out);
  this->Finisher.conclude(Of.Asked.id(), CompleteAnswer{End.Count, End.Result},
                          Now, Out);
}

void AttemptEndHandler::notStarted(RunningRequest &Of, bool FirstTry, Time Now,
                                   Actions &Out) {
  this->Dependencies.Groups.release(Of.Asked.id(), Now, Out);
  if (FirstTry || !Of.Asked.Class.Idempotent)
    Of.MayHaveRun = false;
  this->retryOrGiveUp(Of, "no upstream took it", Now, Out);
}

void AttemptEndHandler::broken(RunningRequest &Of, Time Now, Actions &Out) {
  if (!Of.Asked.Class.Idempotent) {
    this->Finisher.giveUp(Of.Asked.id(), "the upstream's answer was lost", Now,
                          Out);
    return;
  }
  this->retryOrGiveUp(Of, "the upstream's answer was cut", Now, Out);
}

void AttemptEndHandler::failed(RunningRequest &Of, const AttemptFailed &End,
                               Time Now, Actions &Out) {
  if (Of.Asked.Class.Idempotent) {
    this->retryOrGiveUp(Of, "the upstream failed: " + End.Message, Now, Out);
    return;
  }
  this->Dependencies.Claims.finish(Of.Asked, OutcomeRecord::Kind::Failed,
                                   End.Message, Now, Out);
  this->Finisher.conclude(
      Of.Asked.id(),
      FailedAnswer{"the upstream ran it and failed: " + End.Message +
                       "; ask with a new operation_key to run it anew",
                   this->Dependencies.comeBackAfter()},
      Now, Out);
}

void AttemptEndHandler::retryOrGiveUp(RunningRequest &Of, std::string_view Why,
                                      Time Now, Actions &Out) {
  const bool Quarantined =
      this->Dependencies.Poison.isQuarantined(Of.Asked.Head.Content, Now);
  const bool Allowed =
      !Of.Adopted && !Quarantined && Now < Of.Asked.Deadline &&
      Of.Tries < this->Dependencies.Values.MostTries &&
      this->Dependencies.Retries.mayRetry(Of.Asked, Of.Tries, Now);
  if (!Allowed) {
    this->Finisher.giveUp(Of.Asked.id(), Why, Now, Out);
    return;
  }
  Out.count("requests_retried");
  Out.log(logEvent(events::RequestRetried)
              .with("request", Of.Asked.id().Value)
              .with("tries", Of.Tries)
              .with("next_index", Of.NextIndex)
              .build());
  this->RequestDispatcher.enqueue(Of, Now);
}

} // namespace banyanpick
