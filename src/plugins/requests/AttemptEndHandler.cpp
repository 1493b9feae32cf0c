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

/// Whether the upstream certainly did not start the request.
bool certainlyNotStarted(const AttemptOutcome &Outcome) {
  return std::holds_alternative<AttemptRefused>(Outcome) ||
         std::holds_alternative<AttemptNeverSent>(Outcome);
}

void logFailure(const RunningRequest &Entry, const Attempt &Failed,
                const AttemptOutcome &Outcome, Actions &Out) {
  Out.count("attempts_failed", outcomeName(Outcome));
  Out.log(logEvent(events::AttemptFailed)
              .with("request", Entry.Original.id().Value)
              .with("upstream", Failed.Upstream.Value)
              .with("outcome", outcomeName(Outcome))
              .with("next_index", Entry.NextIndex)
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
  const Duration Latency = Now - Found->Original.ArrivedAt;
  Out.add(RecordMeasurement{
      RecordMeasurement::Kind::Histogram, "time_to_first_token_seconds",
      Found->Original.Head.Class.Value, inSeconds(Latency)});
  if (Now > Found->Original.FirstTokenBy)
    Out.count("first_token_promises_missed", Found->Original.Head.Class.Value);
  const Attempt Running = *Found->attempt();
  for (RequestObserver *Observer : this->Dependencies.Observers.all())
    Observer->firstToken(Found->Original, Running, Now, Out);
}

void AttemptEndHandler::ended(const AttemptEnded &End, Time Now, Actions &Out) {
  RunningRequest *Found = this->Table.findByAttempt(End.Attempt);
  if (!Found) {
    Out.count("stale_attempt_ends");
    return;
  }
  const Attempt Ended = *Found->attempt();
  const bool IsFirstAttempt = Found->AttemptCount == 1;
  this->Table.setPhase(*Found, InQueue{});
  if (const auto *Broken = std::get_if<AttemptBroken>(&End.Outcome))
    Found->NextIndex = std::max(Found->NextIndex, Broken->NextIndex);
  if (!std::holds_alternative<AttemptComplete>(End.Outcome))
    logFailure(*Found, Ended, End.Outcome, Out);
  if (!certainlyNotStarted(End.Outcome))
    this->Dependencies.Groups.release(Found->Original.id(), Now, Out);
  this->cancelIfRunning(Ended, End.Outcome, Found->Original.Deadline, Now, Out);
  Found->Excluded.insert(Ended.Upstream);
  for (RequestObserver *Observer : this->Dependencies.Observers.all())
    Observer->attemptEnded(Found->Original, Ended, End.Outcome, Now, Out);
  match(
      End.Outcome,
      [&](const AttemptComplete &Complete) {
        this->complete(*Found, Complete, Now, Out);
      },
      [&](const AttemptRefused &) {
        this->notStarted(*Found, IsFirstAttempt, Now, Out);
      },
      [&](const AttemptNeverSent &) {
        this->notStarted(*Found, IsFirstAttempt, Now, Out);
      },
      [&](const AttemptBroken &) { this->broken(*Found, Now, Out); },
      [&](const AttemptFailed &Failed) {
        this->failed(*Found, Failed, Now, Out);
      });
}

void AttemptEndHandler::upstreamDied(const UpstreamId &Id, Incarnation Life,
                                     Time Now, Actions &Out) {
  for (const AttemptId &Lost : this->Table.attemptsOn(Id, Life))
    this->ended(AttemptEnded{Lost, AttemptBroken{}}, Now, Out);
}

void AttemptEndHandler::cancelIfRunning(const Attempt &Ended,
                                        const AttemptOutcome &Outcome,
                                        Time Deadline, Time Now, Actions &Out) {
  const auto *Broken = std::get_if<AttemptBroken>(&Outcome);
  const Upstream *Target = this->Dependencies.Fleet.find(Ended.Upstream);
  if (!Broken || Broken->UpstreamDied || !Target ||
      Target->Listing.Kind != UpstreamKind::Engine)
    return;
  this->Dependencies.Canceller.cancel(Ended.Id, Ended.Upstream, Deadline, Now,
                                      Out);
}

void AttemptEndHandler::complete(RunningRequest &Entry,
                                 const AttemptComplete &End, Time Now,
                                 Actions &Out) {
  if (!Entry.Original.Class.Idempotent)
    this->Dependencies.Claims.finish(Entry.Original, OutcomeRecord::Kind::Done,
                                     End.Result, Now, Out);
  this->Finisher.conclude(Entry.Original.id(),
                          CompleteAnswer{End.Count, End.Result}, Now, Out);
}

void AttemptEndHandler::notStarted(RunningRequest &Entry, bool IsFirstAttempt,
                                   Time Now, Actions &Out) {
  this->Dependencies.Groups.release(Entry.Original.id(), Now, Out);
  if (IsFirstAttempt || !Entry.Original.Class.Idempotent)
    Entry.MayHaveRun = false;
  this->retryOrGiveUp(Entry, "no upstream took it", Now, Out);
}

void AttemptEndHandler::broken(RunningRequest &Entry, Time Now, Actions &Out) {
  if (!Entry.Original.Class.Idempotent) {
    this->Finisher.giveUp(Entry.Original.id(), "the upstream's answer was lost",
                          Now, Out);
    return;
  }
  this->retryOrGiveUp(Entry, "the upstream's answer was cut", Now, Out);
}

void AttemptEndHandler::failed(RunningRequest &Entry, const AttemptFailed &End,
                               Time Now, Actions &Out) {
  if (Entry.Original.Class.Idempotent) {
    this->retryOrGiveUp(Entry, "the upstream failed: " + End.Message, Now, Out);
    return;
  }
  this->Dependencies.Claims.finish(Entry.Original, OutcomeRecord::Kind::Failed,
                                   End.Message, Now, Out);
  this->Finisher.conclude(
      Entry.Original.id(),
      FailedAnswer{"the upstream ran it and failed: " + End.Message +
                       "; ask with a new operation_key to run it anew",
                   this->Dependencies.retryAfter()},
      Now, Out);
}

void AttemptEndHandler::retryOrGiveUp(RunningRequest &Entry,
                                      std::string_view Reason, Time Now,
                                      Actions &Out) {
  const bool Quarantined = this->Dependencies.Quarantine.isQuarantined(
      Entry.Original.Head.Content, Now);
  const bool Allowed =
      !Entry.Adopted && !Quarantined && Now < Entry.Original.Deadline &&
      Entry.AttemptCount < this->Dependencies.Options.MaxAttempts &&
      this->Dependencies.Retries.mayRetry(Entry.Original, Entry.AttemptCount,
                                          Now);
  if (!Allowed) {
    this->Finisher.giveUp(Entry.Original.id(), Reason, Now, Out);
    return;
  }
  Out.count("requests_retried");
  Out.log(logEvent(events::RequestRetried)
              .with("request", Entry.Original.id().Value)
              .with("tries", Entry.AttemptCount)
              .with("next_index", Entry.NextIndex)
              .build());
  this->RequestDispatcher.enqueue(Entry, Now);
}

} // namespace banyanpick
