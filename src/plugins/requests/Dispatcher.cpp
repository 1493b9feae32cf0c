#include "plugins/requests/Dispatcher.h"

#include "base/Visitor.h"

namespace banyanpick {

void Dispatcher::enqueue(RunningRequest &Of, Time Now) {
  this->Table.setPhase(Of, InQueue{});
  this->Dependencies.Queue.push(Of.Asked, Now);
}

void Dispatcher::sweep(Time Now, Actions &Out) {
  this->SweptAt = Now;
  const auto Most =
      static_cast<std::size_t>(this->Dependencies.Values.CandidatesPerSweep);
  for (const RequestId &Id : this->Dependencies.Queue.candidates(Most, Now)) {
    RunningRequest *Waiting = this->Table.find(Id);
    if (Waiting)
      this->tryOne(*Waiting, Now, Out);
    else
      this->Dependencies.Queue.remove(Id);
  }
}

Time Dispatcher::nextSweep() const {
  if (this->Dependencies.Queue.size() == 0)
    return Never;
  return this->SweptAt + this->Dependencies.Values.SweepInterval;
}

void Dispatcher::tryOne(RunningRequest &Of, Time Now, Actions &Out) {
  if (this->Dependencies.Poison.isQuarantined(Of.Asked.Head.Content, Now)) {
    this->Finisher.giveUp(Of.Asked.id(), "its content is quarantined", Now, Out,
                          RefusalReason::Quarantined);
    return;
  }
  SelectionLimits Limits;
  Limits.Excluded = Of.Excluded;
  Limits.Isolated = this->Dependencies.Poison.isSuspect(Of.Asked, Now);
  const Selection Chosen =
      this->Dependencies.Selector.select(Of.Asked, Limits, Now, Out);
  match(
      Chosen,
      [&](const Selected &Choice) { this->takeSelected(Of, Choice, Now, Out); },
      [&](const NothingFits &Reason) {
        this->keepWaiting(Of, Reason, Now, Out);
      });
}

void Dispatcher::takeSelected(RunningRequest &Of, const Selected &Choice,
                              Time Now, Actions &Out) {
  this->Dependencies.Queue.remove(Of.Asked.id());
  if (Choice.Group.empty()) {
    this->dispatch(Of, Choice, {}, Now, Out);
    return;
  }
  this->Table.setPhase(Of, AwaitingGroup{Choice});
  this->Dependencies.Groups.acquire(Of.Asked, Choice, Now, Out);
}

void Dispatcher::keepWaiting(RunningRequest &Of, const NothingFits &Reason,
                             Time Now, Actions &Out) {
  if (!Of.Excluded.empty()) {
    // Every upstream that could take it now was tried; the next sweep begins
    // anew with all. At once it would only use the tries up.
    Of.Excluded.clear();
    return;
  }
  if (Reason.Permanent) {
    this->Finisher.giveUp(Of.Asked.id(), "no upstream that lives can take it",
                          Now, Out, RefusalReason::NoUpstream);
    return;
  }
  if (Of.MayHaveRun)
    return;
  for (AdmissionGate *Gate : this->Dependencies.Gates.all()) {
    const auto Refusal = Gate->reconsider(Of.Asked, Now);
    if (!Refusal)
      continue;
    if (!Of.Asked.Class.Idempotent)
      this->Dependencies.Claims.abandon(Of.Asked, Now, Out);
    this->Finisher.conclude(Of.Asked.id(), *Refusal, Now, Out);
    return;
  }
}

void Dispatcher::groupDecided(const RequestId &Id,
                              std::span<const HoldId> Holds, Time Now,
                              Actions &Out) {
  RunningRequest *Found = this->Table.find(Id);
  const auto *Waiting =
      Found ? std::get_if<AwaitingGroup>(&Found->Phase) : nullptr;
  if (!Waiting) {
    this->Dependencies.Groups.release(Id, Now, Out);
    return;
  }
  const Selected Choice = Waiting->Choice;
  if (Holds.empty())
    this->enqueue(*Found, Now);
  else
    this->dispatch(*Found, Choice, Holds, Now, Out);
}

void Dispatcher::dispatch(RunningRequest &Of, const Selected &Choice,
                          std::span<const HoldId> Holds, Time Now,
                          Actions &Out) {
  const Upstream *Where = this->Dependencies.Fleet.find(Choice.Upstream);
  if (!Where) {
    this->Dependencies.Groups.release(Of.Asked.id(), Now, Out);
    this->enqueue(Of, Now);
    return;
  }
  Attempt Try;
  Try.UpstreamLife = Where->Listing.Life;
  Try.StartIndex = Of.NextIndex;
  Try.NextIndex = Of.NextIndex;
  Try.UncachedTokens = Choice.UncachedTokens;
  Try.Priority = Choice.Priority;
  Try.Group = Choice.Group;

  DispatchAttempt Wanted;
  Wanted.Upstream = Choice.Upstream;
  Wanted.At = Where->Listing.At;
  Wanted.Kind = Where->Listing.Kind;
  Wanted.Holds.assign(Holds.begin(), Holds.end());
  this->start(Of, std::move(Try), std::move(Wanted), Now, Out);
}

void Dispatcher::attach(RunningRequest &Of, const StreamHandover &Stream,
                        Time Now, Actions &Out) {
  const Upstream *Where = this->Dependencies.Fleet.find(Stream.Upstream);
  if (!Where)
    return;
  Attempt Try;
  Try.UpstreamLife = Where->Listing.Life;
  Try.StartIndex = Stream.NextIndex;
  Try.NextIndex = Stream.NextIndex;

  DispatchAttempt Wanted;
  Wanted.Upstream = Stream.Upstream;
  Wanted.At = Where->Listing.At;
  Wanted.Kind = Where->Listing.Kind;
  Wanted.AttachTo = Stream.Attempt;
  this->start(Of, std::move(Try), std::move(Wanted), Now, Out);
}

void Dispatcher::start(RunningRequest &Of, Attempt Try, DispatchAttempt Wanted,
                       Time Now, Actions &Out) {
  Try.Id = {this->Dependencies.Self.Life, ++this->AttemptsMade};
  Try.Request = Of.Asked.id();
  Try.Upstream = Wanted.Upstream;
  Try.SentAt = Now;

  Wanted.Attempt = Try.Id;
  Wanted.Request = Of.Asked.id();
  Wanted.TargetName = Of.Asked.Class.TargetName;
  Wanted.Priority = Try.Priority;
  Wanted.MaxOutputTokens = Of.Asked.OutputTokens;
  Wanted.NextIndex = Of.NextIndex;
  Wanted.Deadline = Of.Asked.Deadline;

  ++Of.Tries;
  // From here on only the upstream's or the transport's word can show that it
  // did not run.
  Of.MayHaveRun = true;
  this->Table.setAttempt(Of, Try);
  Out.add(std::move(Wanted));
  for (RequestObserver *Each : this->Dependencies.Observers.all())
    Each->dispatched(Of.Asked, Try, Now, Out);
}

} // namespace banyanpick
