#include "plugins/requests/RequestFinisher.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"

namespace banyanpick {

namespace {

constexpr std::string_view OutcomeAdvice =
    "ask the service itself; the operation is never run again";

/// Returns the answer to a request that is given up now. It states what is
/// known about whether the request ran.
FinalAnswer answerOnGiveUp(const RunningRequest &Entry, std::string_view Reason,
                           RefusalReason NotRunReason, Duration RetryAfter) {
  if (!Entry.MayHaveRun)
    return NotRun{NotRunReason, RetryAfter,
                  std::string(Reason) + "; ask again after the time given"};
  if (Entry.Original.Class.Idempotent)
    return FailedAnswer{
        std::string(Reason) + "; ask again after the time given", RetryAfter};
  return OutcomeUnknown{std::string(Reason) + "; " + std::string(OutcomeAdvice),
                        RetryAfter};
}

} // namespace

std::string_view kindName(const FinalAnswer &Answer) {
  return match(
      Answer, [](const CompleteAnswer &) { return "whole"; },
      [](const NotRun &) { return "not-run"; },
      [](const FailedAnswer &) { return "failed"; },
      [](const OutcomeUnknown &) { return "outcome-unknown"; },
      [](const InProgress &) { return "in-progress"; });
}

void RequestFinisher::refuse(const RequestId &Id, const ClassId &Class,
                             const NotRun &Refusal, Actions &Out) const {
  Out.add(AnswerRequest{Id, Refusal});
  Out.count("requests_refused", name(Refusal.Reason));
  Out.log(logEvent(events::RequestRefused)
              .with("request", Id.Value)
              .with("class", Class.Value)
              .with("reason", name(Refusal.Reason))
              .with("come_back_after_us", Refusal.RetryAfter.count())
              .build());
}

void RequestFinisher::conclude(const RequestId &Id, const FinalAnswer &Answer,
                               Time Now, Actions &Out) {
  const RunningRequest *Found = this->Table.find(Id);
  if (!Found)
    return;
  const RunningRequest Ended = *Found;
  this->Dependencies.Queue.remove(Id);
  this->cancelRunning(Ended, Now, Out);
  this->Dependencies.Groups.release(Id, Now, Out);
  this->Table.remove(Id);
  Out.add(AnswerRequest{Id, Answer});
  Out.count("requests_ended", kindName(Answer));
  Out.log(logEvent(events::RequestEnded)
              .with("request", Id.Value)
              .with("team", Ended.Original.Team.Value)
              .with("class", Ended.Original.Head.Class.Value)
              .with("answer", kindName(Answer))
              .with("tries", Ended.AttemptCount)
              .with("took_us", (Now - Ended.Original.ArrivedAt).count())
              .build());
  this->notifyEnded(Ended.Original, Answer, Now, Out);
}

void RequestFinisher::giveUp(const RequestId &Id, std::string_view Reason,
                             Time Now, Actions &Out,
                             RefusalReason NotRunReason) {
  const RunningRequest *Found = this->Table.find(Id);
  if (!Found)
    return;
  const bool Claimed = !Found->Original.Class.Idempotent;
  if (Claimed && Found->MayHaveRun)
    this->Dependencies.Claims.finish(
        Found->Original, OutcomeRecord::Kind::Unknown, "", Now, Out);
  else if (Claimed)
    this->Dependencies.Claims.abandon(Found->Original, Now, Out);
  this->conclude(Id,
                 answerOnGiveUp(*Found, Reason, NotRunReason,
                                this->Dependencies.retryAfter()),
                 Now, Out);
}

void RequestFinisher::release(const RequestId &Id, Time Now, Actions &Out) {
  const RunningRequest *Found = this->Table.find(Id);
  if (!Found)
    return;
  const Request Original = Found->Original;
  this->Dependencies.Queue.remove(Id);
  this->Table.remove(Id);
  this->notifyEnded(Original, FailedAnswer{"handed over to a peer", {}}, Now,
                    Out);
}

void RequestFinisher::notifyEnded(const Request &Original,
                                  const FinalAnswer &Answer, Time Now,
                                  Actions &Out) {
  for (RequestObserver *Observer : this->Dependencies.Observers.all())
    Observer->ended(Original, Answer, Now, Out);
}

void RequestFinisher::cancelRunning(const RunningRequest &Entry, Time Now,
                                    Actions &Out) {
  const Attempt *Running = Entry.attempt();
  if (!Running)
    return;
  this->Dependencies.Canceller.cancel(Running->Id, Running->Upstream,
                                      Entry.Original.Deadline, Now, Out);
  // Observers see the attempt end as if its connection broke now.
  for (RequestObserver *Observer : this->Dependencies.Observers.all())
    Observer->attemptEnded(Entry.Original, *Running,
                           AttemptBroken{Entry.NextIndex, false}, Now, Out);
}

} // namespace banyanpick
