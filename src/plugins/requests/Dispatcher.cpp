#include "plugins/requests/Dispatcher.h"

#include "base/Visitor.h"

namespace banyanpick {

void Dispatcher::enqueue(RunningRequest &Entry, Time Now) {
  this->Table.setPhase(Entry, InQueue{});
  this->Dependencies.Queue.push(Entry.Original, Now);
}

void Dispatcher::sweep(Time Now, Actions &Out) {
  this->SweptAt = Now;
  const auto MaxCandidates =
      static_cast<std::size_t>(this->Dependencies.Options.CandidatesPerSweep);
  for (const RequestId &Id :
       this->Dependencies.Queue.candidates(MaxCandidates, Now)) {
    RunningRequest *Waiting = this->Table.find(Id);
    if (Waiting)
      this->dispatchWaiting(*Waiting, Now, Out);
    else
      this->Dependencies.Queue.remove(Id);
  }
}

Time Dispatcher::nextSweep() const {
  if (this->Dependencies.Queue.size() == 0)
    return Never;
  return this->SweptAt + this->Dependencies.Options.SweepInterval;
}

void Dispatcher::dispatchWaiting(RunningRequest &Entry, Time Now,
                                 Actions &Out) {
  if (this->Dependencies.Quarantine.isQuarantined(Entry.Original.Head.Content,
                                                  Now)) {
    this->Finisher.giveUp(Entry.Original.id(), "its content is quarantined",
                          Now, Out, RefusalReason::Quarantined);
    return;
  }
  SelectionLimits Limits;
  Limits.Excluded = Entry.Excluded;
  Limits.Isolated =
      this->Dependencies.Quarantine.isSuspect(Entry.Original, Now);
  const Selection Chosen =
      this->Dependencies.Selector.select(Entry.Original, Limits, Now, Out);
  match(
      Chosen,
      [&](const Selected &Choice) {
        this->dispatchSelected(Entry, Choice, Now, Out);
      },
      [&](const NothingFits &Reason) {
        this->handleNothingFits(Entry, Reason, Now, Out);
      });
}

void Dispatcher::dispatchSelected(RunningRequest &Entry, const Selected &Choice,
                                  Time Now, Actions &Out) {
  this->Dependencies.Queue.remove(Entry.Original.id());
  if (Choice.Group.empty()) {
    this->dispatch(Entry, Choice, {}, Now, Out);
    return;
  }
  this->Table.setPhase(Entry, AwaitingGroup{Choice});
  this->Dependencies.Groups.acquire(Entry.Original, Choice, Now, Out);
}

void Dispatcher::handleNothingFits(RunningRequest &Entry,
                                   const NothingFits &Reason, Time Now,
                                   Actions &Out) {
  if (!Entry.Excluded.empty()) {
    // Every upstream that can accept the request now was tried. The next sweep
    // considers all of them again; an immediate retry would only use up the
    // attempts.
    Entry.Excluded.clear();
    return;
  }
  if (Reason.Permanent) {
    this->Finisher.giveUp(Entry.Original.id(),
                          "no upstream that lives can take it", Now, Out,
                          RefusalReason::NoUpstream);
    return;
  }
  if (Entry.MayHaveRun)
    return;
  for (AdmissionGate *Gate : this->Dependencies.Gates.all()) {
    const auto Refusal = Gate->reconsider(Entry.Original, Now);
    if (!Refusal)
      continue;
    if (!Entry.Original.Class.Idempotent)
      this->Dependencies.Claims.abandon(Entry.Original, Now, Out);
    this->Finisher.conclude(Entry.Original.id(), *Refusal, Now, Out);
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

void Dispatcher::dispatch(RunningRequest &Entry, const Selected &Choice,
                          std::span<const HoldId> Holds, Time Now,
                          Actions &Out) {
  const Upstream *Target = this->Dependencies.Fleet.find(Choice.Upstream);
  if (!Target) {
    this->Dependencies.Groups.release(Entry.Original.id(), Now, Out);
    this->enqueue(Entry, Now);
    return;
  }
  Attempt NewAttempt;
  NewAttempt.UpstreamLife = Target->Listing.Life;
  NewAttempt.StartIndex = Entry.NextIndex;
  NewAttempt.NextIndex = Entry.NextIndex;
  NewAttempt.UncachedTokens = Choice.UncachedTokens;
  NewAttempt.Priority = Choice.Priority;
  NewAttempt.Group = Choice.Group;

  DispatchAttempt Order;
  Order.Upstream = Choice.Upstream;
  Order.At = Target->Listing.At;
  Order.Kind = Target->Listing.Kind;
  Order.Holds.assign(Holds.begin(), Holds.end());
  this->start(Entry, std::move(NewAttempt), std::move(Order), Now, Out);
}

void Dispatcher::attach(RunningRequest &Entry, const StreamHandover &Stream,
                        Time Now, Actions &Out) {
  const Upstream *Target = this->Dependencies.Fleet.find(Stream.Upstream);
  if (!Target)
    return;
  Attempt NewAttempt;
  NewAttempt.UpstreamLife = Target->Listing.Life;
  NewAttempt.StartIndex = Stream.NextIndex;
  NewAttempt.NextIndex = Stream.NextIndex;

  DispatchAttempt Order;
  Order.Upstream = Stream.Upstream;
  Order.At = Target->Listing.At;
  Order.Kind = Target->Listing.Kind;
  Order.AttachTo = Stream.Attempt;
  this->start(Entry, std::move(NewAttempt), std::move(Order), Now, Out);
}

void Dispatcher::start(RunningRequest &Entry, Attempt NewAttempt,
                       DispatchAttempt Order, Time Now, Actions &Out) {
  NewAttempt.Id = {this->Dependencies.Self.Life, ++this->AttemptsStarted};
  NewAttempt.Request = Entry.Original.id();
  NewAttempt.Upstream = Order.Upstream;
  NewAttempt.SentAt = Now;

  Order.Attempt = NewAttempt.Id;
  Order.Request = Entry.Original.id();
  Order.TargetName = Entry.Original.Class.TargetName;
  Order.Priority = NewAttempt.Priority;
  Order.MaxOutputTokens = Entry.Original.OutputTokens;
  Order.NextIndex = Entry.NextIndex;
  Order.Deadline = Entry.Original.Deadline;

  ++Entry.AttemptCount;
  // From here on, only the upstream or the transport can confirm that the
  // request did not run.
  Entry.MayHaveRun = true;
  this->Table.setAttempt(Entry, NewAttempt);
  Out.add(std::move(Order));
  for (RequestObserver *Observer : this->Dependencies.Observers.all())
    Observer->dispatched(Entry.Original, NewAttempt, Now, Out);
}

} // namespace banyanpick
