/// \file
/// The attempts of relayed requests at engines.
#include "base/Visitor.h"
#include "gateway/PromptSize.h"
#include "plugins/relays/RelayLog.h"
#include "plugins/relays/RelaysPlugin.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Whether the attempt is lost with the engine: it runs there, or the engine
/// prefills or holds parts of its prompt.
bool dependsOn(const RelayAttempt &Attempt, const UpstreamId &Engine) {
  if (Attempt.Engine == Engine)
    return true;
  return std::ranges::any_of(Attempt.Helpers, [&](const HelperEngine &Helper) {
    return Helper.Engine == Engine && (!Attempt.Began || Helper.Tokens > 0);
  });
}

} // namespace

template <class Function>
void RelaysPlugin::notifyObservers(const RelayAttempt &Attempt,
                                   Function Notify) const {
  if (Attempt.IsForward)
    return;
  for (RelayObserver *Observer : this->Registry->list<RelayObserver>().all())
    Notify(*Observer);
}

void RelaysPlugin::beginAttempt(RunningRelay &Relay,
                                const RelayAttempt &Attempt, Time Now,
                                Actions &Out) {
  Relay.AwaitsTurn = false;
  Relay.WaitingSince = Never;
  Relay.UndecidedSince = Never;
  ++Relay.Sends;
  Relay.LiveAttempt = Attempt;
  this->Running.link(Attempt.Id, Relay.Head.Id);
  this->notifyObservers(Attempt, [&](RelayObserver &Observer) {
    Observer.attemptSent(Attempt, Now, Out);
  });
  this->scheduleCheck(Relay, Now);
}

void RelaysPlugin::dispatchChoice(RunningRelay &Relay,
                                  const SelectedEngine &Chosen, Time Now,
                                  Actions &Out) {
  Relay.AwaitsTurn = false;
  const bool NeedsMemory =
      std::ranges::any_of(Chosen.Helpers, [](const HelperEngine &Helper) {
        return Helper.Tokens > 0;
      });
  if (!NeedsMemory) {
    this->dispatch(Relay, Chosen, Now, Out);
    return;
  }
  Relay.PendingReservation = Chosen;
  this->Memory->acquire(Relay.Head.Id, Chosen.Helpers, Now, Out);
  this->scheduleCheck(Relay, Now);
}

void RelaysPlugin::awaitTurn(RunningRelay &Relay, Duration CheckAfter, Time Now,
                             Actions &Out) {
  if (!Relay.AwaitsTurn)
    logQueued(Relay, Out);
  Relay.AwaitsTurn = true;
  Relay.NextAttemptAt = Now + CheckAfter;
  // Engines that refused the request may accept it at the next check.
  Relay.NotRunOn.clear();
  this->scheduleCheck(Relay, Now);
}

void RelaysPlugin::memoryDecided(const RequestId &Id,
                                 std::span<const HelperEngine> Shares, Time Now,
                                 Actions &Out) {
  RunningRelay *Relay = this->Running.find(Id);
  if (!Relay || !Relay->PendingReservation) {
    this->Memory->release(Id, Now, Out);
    return;
  }
  SelectedEngine Chosen = *Relay->PendingReservation;
  Relay->PendingReservation.reset();
  if (!this->passQuarantine(*Relay, Now, Out)) {
    this->Memory->release(Id, Now, Out);
    return;
  }
  if (!this->canEndBeforeStop(*Relay, Chosen.Predicted, Now)) {
    this->finishForStop(*Relay, Now, Out);
    return;
  }
  // Since the choice, engines may have been removed or closed.
  const bool Unavailable =
      std::ranges::any_of(Chosen.Helpers, [&](const HelperEngine &Helper) {
        return this->Gate->blocked(Helper.Engine, Now).has_value();
      });
  if (Shares.empty() || Unavailable) {
    this->Memory->release(Id, Now, Out);
    Relay->NextAttemptAt = Now + this->Options.MemoryRetryDelay;
    this->wait(*Relay, Now, Out);
    return;
  }
  Chosen.Helpers.assign(Shares.begin(), Shares.end());
  this->dispatch(*Relay, Chosen, Now, Out);
}

void RelaysPlugin::dispatch(RunningRelay &Relay, const SelectedEngine &Chosen,
                            Time Now, Actions &Out) {
  const RegisteredEngine *Engine = this->Directory->find(Chosen.Engine);
  const RelayAttempt Attempt =
      makeAttempt(Relay, Chosen, {this->Own.Life, ++this->AttemptCount}, Now);
  Relay.AnswerTimeoutAt =
      Relay.isIdempotent() ? Now + this->answerTimeout(Relay, Chosen) : Never;
  DispatchRelay Order = makeDispatch(Relay, Attempt, Chosen, Engine->Record.At,
                                     this->Options.SilenceLimits);
  Order.MaxConnections = this->Quota->maxConnections(Chosen.Engine);
  // A host that stops waits on: another engine would have less time.
  if (this->mayOutlastStop(Relay))
    Order.MaxSilence = Duration(0);
  Out.add(GatewayAction(std::move(Order)));
  logSent(Relay, Attempt, *Engine, Chosen, Out);
  this->beginAttempt(Relay, Attempt, Now, Out);
}

void RelaysPlugin::began(const RelayBegan &Begin, Time Now, Actions &Out) {
  RunningRelay *Relay = this->Running.findByAttempt(Begin.Attempt);
  if (!Relay || !Relay->LiveAttempt)
    return;
  if (!Relay->Began)
    Relay->FirstEventLatency = Now - Relay->ArrivedAt;
  if (!Relay->Began)
    Out.add(RecordMeasurement{
        RecordMeasurement::Kind::Histogram, "relay_first_event_seconds",
        std::string(name(promptSize(Relay->Head.PromptTokens))),
        inSeconds(Now - Relay->ArrivedAt)});
  this->Durations.recordBegin(Relay->Route, Now - Relay->LiveAttempt->SentAt,
                              Now);
  Relay->Began = true;
  this->LastAnswers[Relay->LiveAttempt->Engine] = Now;
  Relay->LiveAttempt->Began = true;
  Relay->LiveAttempt->BeganAt = Now;
  Relay->AnswerTimeoutAt = Never;
  this->notifyObservers(*Relay->LiveAttempt, [&](RelayObserver &Observer) {
    Observer.attemptBegan(*Relay->LiveAttempt, Now, Out);
  });
}

void RelaysPlugin::ended(const RelayEnded &End, Time Now, Actions &Out) {
  RunningRelay *Relay = this->Running.findByAttempt(End.Attempt);
  if (!Relay || !Relay->LiveAttempt || Relay->LiveAttempt->Id != End.Attempt)
    return;
  if (isAnswer(End.Outcome))
    this->LastAnswers[Relay->LiveAttempt->Engine] = Now;
  if (std::holds_alternative<RelayDelivered>(End.Outcome))
    this->recordAnswerTime(*Relay, Now);
  if (const auto *NotRun = std::get_if<RelayNotRun>(&End.Outcome))
    if (NotRun->OtherEngine)
      this->Directory->addressTaken(faultyEngine(*NotRun,
                                                 Relay->LiveAttempt->Engine,
                                                 Relay->LiveAttempt->Helpers),
                                    Now, Out);
  const RelayAttempt Ended = this->endAttempt(*Relay, End.Outcome, Now, Out);
  this->applyVerdict(*Relay, Ended, End.Outcome, Now, Out);
}

void RelaysPlugin::recordAnswerTime(const RunningRelay &Relay, Time Now) {
  const RelayAttempt &Attempt = *Relay.LiveAttempt;
  if (!Attempt.Began)
    this->Durations.recordBegin(Relay.Route, Now - Attempt.SentAt, Now);
  const Time BeganAt = Attempt.Began ? Attempt.BeganAt : Now;
  this->Durations.recordEnd(Relay.Route, Now - BeganAt,
                            Relay.Head.MaxOutputTokens, Now);
}

RelayAttempt RelaysPlugin::endAttempt(RunningRelay &Relay,
                                      const RelayOutcome &Outcome, Time Now,
                                      Actions &Out) {
  RelayAttempt Ended = *Relay.LiveAttempt;
  this->Running.unlink(Ended.Id);
  Relay.LiveAttempt.reset();
  Relay.AnswerTimeoutAt = Never;
  this->Memory->release(Relay.Head.Id, Now, Out);
  logAttemptEnded(Relay, Ended, Outcome, Now, Out);
  this->notifyObservers(Ended, [&](RelayObserver &Observer) {
    Observer.attemptEnded(Ended, Outcome, Now, Out);
  });
  return Ended;
}

void RelaysPlugin::engineRestarted(const UpstreamId &Id, Time Now,
                                   Actions &Out) {
  for (const RequestId &Request : this->Running.ids()) {
    RunningRelay *Relay = this->Running.find(Request);
    if (!Relay || !Relay->LiveAttempt || !dependsOn(*Relay->LiveAttempt, Id))
      continue;
    this->breakAttempt(*Relay, RelayBroken::Why::Reset, Now, Out);
  }
}

void RelaysPlugin::memoryIdle(const RequestId &Id, Time Now, Actions &Out) {
  RunningRelay *Relay = this->Running.find(Id);
  if (Relay && Relay->LiveAttempt)
    this->breakAttempt(*Relay, RelayBroken::Why::Silent, Now, Out);
}

void RelaysPlugin::breakAttempt(RunningRelay &Relay, RelayBroken::Why Reason,
                                Time Now, Actions &Out) {
  Out.add(GatewayAction(CancelRelay{Relay.LiveAttempt->Id}));
  const RelayOutcome Lost = RelayBroken{Reason, Relay.Began, std::nullopt};
  const RelayAttempt Ended = this->endAttempt(Relay, Lost, Now, Out);
  this->applyVerdict(Relay, Ended, Lost, Now, Out);
}

void RelaysPlugin::applyVerdict(RunningRelay &Relay, const RelayAttempt &Ended,
                                const RelayOutcome &Outcome, Time Now,
                                Actions &Out) {
  match(
      judgeAttempt(Relay, Ended, Outcome),
      [&](const RelayCompleted &) {
        logEnd(Relay, "delivered", "", Now, Out);
        this->Running.remove(Relay.Head.Id);
      },
      [&](const RetryElsewhere &Again) {
        const bool Allowed =
            !Again.ReachedUpstream ||
            this->Allowance.tryAcquire(Relay.Service, this->budgetShare(), Now);
        if (Allowed) {
          this->send(Relay, Now, Out);
          return;
        }
        Out.count("retries_refused", Relay.Service.Value);
        this->finish(Relay, Relay.refusal(), "the budget of repeats is used up",
                     Now, Out);
      },
      [&](const GiveUp &End) {
        this->finish(Relay, End.Kind, "no other try is allowed", Now, Out);
      });
}

void RelaysPlugin::cancelAttempt(RunningRelay &Relay, Time Now, Actions &Out) {
  Out.add(GatewayAction(CancelRelay{Relay.LiveAttempt->Id}));
  this->notifyObservers(*Relay.LiveAttempt, [&](RelayObserver &Observer) {
    Observer.attemptCancelled(*Relay.LiveAttempt, Now, Out);
  });
  this->Running.unlink(Relay.LiveAttempt->Id);
  Relay.LiveAttempt.reset();
  Relay.AnswerTimeoutAt = Never;
}

} // namespace banyanpick
