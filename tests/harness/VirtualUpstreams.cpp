/// \file
/// The upstreams of a virtual deployment: connections, attempts and streams.
#include "base/Visitor.h"
#include "harness/VirtualDeployment.h"

namespace banyanpick {

namespace {

/// Timeout of the driver for a connection or an answer.
constexpr Duration AnswerTimeout = seconds(1);
/// Time from the start of a poison request to the crash of its engine.
constexpr Duration PoisonDelay = milliseconds(50);
/// Time after which a leaving upstream must get no new work.
constexpr Duration MaxLeavingDelay = seconds(3);
/// Engines run jobs far beyond the deadline, so that the deployment must cancel
/// them itself.
constexpr Duration EngineJobLimit = std::chrono::hours(1);

} // namespace

VirtualDeployment::Reachability
VirtualDeployment::sendToUpstream(const std::string &From,
                                  const std::string &Upstream,
                                  std::function<void()> Work) {
  if (this->Net.isCut(From, Upstream))
    return Reachability::Cut;
  const auto Engine = this->Engines.find(Upstream);
  const auto Application = this->Applications.find(Upstream);
  const bool IsEngine = Engine != this->Engines.end();
  if (!IsEngine && Application == this->Applications.end())
    return Reachability::Refused;
  const auto &Listing =
      IsEngine ? Engine->second.Listing : Application->second.Listing;
  const bool &Alive =
      IsEngine ? Engine->second.Alive : Application->second.Alive;
  const bool &Frozen =
      IsEngine ? Engine->second.Frozen : Application->second.Frozen;
  auto &DeferredWork =
      IsEngine ? Engine->second.DeferredWork : Application->second.DeferredWork;
  if (!Alive)
    return Reachability::Refused;
  this->Queue.after(this->Net.delay(From, Upstream),
                    [&Listing, &Alive, &Frozen, &DeferredWork,
                     Life = Listing.Life, Work = std::move(Work)] {
                      if (!Alive || Listing.Life != Life)
                        return;
                      if (Frozen)
                        DeferredWork.push_back(Work);
                      else
                        Work();
                    });
  return Reachability::Open;
}

void VirtualDeployment::replyAfter(Duration Delay, VirtualHost &To,
                                   Incarnation Life, Event Answer) {
  this->Queue.after(Delay, [&To, Life, Answer = std::move(Answer)] {
    To.whenRunning(Life, [&To, Answer] { To.deliver(Answer); });
  });
}

void VirtualDeployment::reply(const std::string &From, VirtualHost &To,
                              Incarnation Life, Event Answer) {
  this->replyAfter(this->Net.delay(From, To.name()), To, Life,
                   std::move(Answer));
}

VirtualAttempt VirtualDeployment::makeAttempt(VirtualHost &From,
                                              const AttemptId &Attempt) {
  return {&From, From.life(), Attempt, From.callerOf(Attempt)};
}

void VirtualDeployment::started(const VirtualAttempt &SentAttempt) {
  if (SentAttempt.Caller)
    ++this->Callers[*SentAttempt.Caller].StartedRuns;
}

void VirtualDeployment::endAfter(Duration Delay,
                                 const VirtualAttempt &SentAttempt,
                                 AttemptOutcome Outcome) {
  this->Queue.after(Delay, [SentAttempt, Outcome = std::move(Outcome)] {
    SentAttempt.From->whenRunning(SentAttempt.Life, [SentAttempt, Outcome] {
      SentAttempt.From->endAttempt(SentAttempt.Id, Outcome);
    });
  });
}

void VirtualDeployment::breakAfter(Duration Delay,
                                   const VirtualAttempt &SentAttempt,
                                   bool UpstreamDied) {
  this->Queue.after(Delay, [SentAttempt, UpstreamDied] {
    SentAttempt.From->whenRunning(
        SentAttempt.Life, [SentAttempt, UpstreamDied] {
          SentAttempt.From->breakAttempt(SentAttempt.Id, UpstreamDied);
        });
  });
}

void VirtualDeployment::checkDispatch(const VirtualHost &From,
                                      const std::string &Upstream,
                                      std::optional<Time> LeftAt) {
  if (!LeftAt || this->now() <= *LeftAt + MaxLeavingDelay)
    return;
  if (this->now() <= From.thawedAt() + seconds(1) ||
      !this->canLearnFrom(From.name(), "hostlist"))
    return;
  this->violation(Upstream + " received new work from " + From.name() +
                  " too long after it began to leave");
}

// --- attempts

void VirtualDeployment::dispatch(VirtualHost &From,
                                 const DispatchAttempt &Wanted,
                                 const RequestHead &Head) {
  const VirtualAttempt SentAttempt = this->makeAttempt(From, Wanted.Attempt);
  const std::string Name = Wanted.Upstream.Value;
  const auto Engine = this->Engines.find(Name);
  const auto Application = this->Applications.find(Name);
  if (Engine != this->Engines.end() && !Wanted.AttachTo)
    this->checkDispatch(From, Name, Engine->second.LeftAt);
  if (Application != this->Applications.end())
    this->checkDispatch(From, Name, Application->second.LeftAt);
  const Reachability Reach = this->sendToUpstream(
      From.name(), Name, [this, SentAttempt, Wanted, Head, Name] {
        if (Wanted.Kind == UpstreamKind::Application)
          this->runOnApplication(this->Applications.at(Name), Head,
                                 SentAttempt);
        else if (Wanted.AttachTo)
          this->attachOnEngine(this->Engines.at(Name), Wanted, SentAttempt);
        else
          this->startOnEngine(this->Engines.at(Name), Wanted, Head,
                              SentAttempt);
      });
  if (Reach == Reachability::Cut)
    this->endAfter(AnswerTimeout, SentAttempt, AttemptNeverSent{});
  if (Reach == Reachability::Refused)
    this->endAfter(2 * this->Net.Far, SentAttempt, AttemptNeverSent{});
}

void VirtualDeployment::startOnEngine(FakeEngine &Engine,
                                      const DispatchAttempt &Wanted,
                                      const RequestHead &Head,
                                      const VirtualAttempt &SentAttempt) {
  this->pump(Engine);
  EngineJob Job;
  Job.Attempt = Wanted.Attempt;
  Job.Owner = SentAttempt.From->name();
  Job.PromptTokens = Head.PromptTokens;
  Job.OutputTokens = Wanted.MaxOutputTokens;
  Job.StartIndex = Wanted.NextIndex;
  Job.Priority = Wanted.Priority;
  Job.Blocks = Head.Blocks;
  Job.Deadline = this->now() + EngineJobLimit;
  Job.HasGroup = !Wanted.Holds.empty();
  Job.Holds = Wanted.Holds;
  using SubmitResult = EngineModel::SubmitResult;
  using Why = AttemptRefused::Why;
  const SubmitResult Answer = Engine.ReportsLeaving
                                  ? SubmitResult::Leaving
                                  : Engine.Model.submit(Job, this->now());
  if (Answer != SubmitResult::Accepted) {
    const Why Reason = Answer == SubmitResult::Busy      ? Why::Busy
                       : Answer == SubmitResult::Leaving ? Why::Leaving
                                                         : Why::NoMemory;
    return this->endAfter(
        this->Net.delay(Engine.Listing.Id.Value, SentAttempt.From->name()),
        SentAttempt, AttemptRefused{Reason});
  }
  this->started(SentAttempt);
  EngineStream Stream;
  Stream.Listener = Job.Attempt;
  Stream.Host = SentAttempt.From->name();
  Stream.HostLife = SentAttempt.Life;
  Stream.Content = Head.Content;
  Stream.Deadline = Wanted.Deadline;
  Stream.FirstIndex = Stream.Produced = Job.StartIndex;
  Engine.Streams[Job.Attempt] = Stream;
  this->schedulePump(Engine);
  const auto PoisonEntry = this->Poison.find(Head.Content);
  if (PoisonEntry == this->Poison.end())
    return;
  const std::string Name = Engine.Listing.Id.Value;
  this->Queue.after(PoisonDelay, [this, Name, Attempt = Job.Attempt,
                                  RestartDelay = PoisonEntry->second] {
    FakeEngine &Victim = this->Engines.at(Name);
    if (!Victim.Alive || !Victim.Streams.contains(Attempt))
      return;
    this->killUpstream(Name);
    this->Queue.after(RestartDelay,
                      [this, Name] { this->restartUpstream(Name); });
  });
}

void VirtualDeployment::attachOnEngine(FakeEngine &Engine,
                                       const DispatchAttempt &Wanted,
                                       const VirtualAttempt &SentAttempt) {
  this->pump(Engine);
  const auto Found =
      Engine.Streams.find(Engine.startedAttempt(Wanted.AttachTo.value()));
  if (Found == Engine.Streams.end())
    return this->breakAfter(
        this->Net.delay(Engine.Listing.Id.Value, SentAttempt.From->name()),
        SentAttempt, false);
  EngineStream &Stream = Found->second;
  Stream.Listener = Wanted.Attempt;
  Stream.Host = SentAttempt.From->name();
  Stream.HostLife = SentAttempt.Life;
  Stream.Deadline = Wanted.Deadline;
  Stream.Broken = false;
  if (Stream.Produced > Wanted.NextIndex || Stream.Ended)
    this->sendChunks(Engine, Stream,
                     {Wanted.Attempt, Wanted.AttachTo.value(), Stream.Content,
                      Wanted.NextIndex, Stream.Produced - Wanted.NextIndex,
                      Stream.Ended});
}

void VirtualDeployment::schedulePump(FakeEngine &Engine) {
  const Time Next = Engine.Model.nextStep();
  if (Next >= Engine.PumpAt)
    return;
  Engine.PumpAt = Next;
  this->Queue.at(Next, [this, &Engine, Next] {
    if (Engine.PumpAt != Next)
      return;
    Engine.PumpAt = Never;
    if (Engine.Alive && !Engine.Frozen)
      this->pump(Engine);
  });
}

void VirtualDeployment::pump(FakeEngine &Engine) {
  for (const EngineModel::Output &Output : Engine.Model.advance(this->now())) {
    const auto Found = Engine.Streams.find(Output.Attempt);
    if (Found == Engine.Streams.end())
      continue;
    EngineStream &Stream = Found->second;
    Stream.Produced = Output.FirstIndex + Output.Count;
    Stream.Ended = Output.Ended;
    this->sendChunks(Engine, Stream,
                     {Stream.Listener, Output.Attempt, Stream.Content,
                      Output.FirstIndex, Output.Count, Output.Ended});
    if (Output.Ended)
      Engine.Streams.erase(Found);
  }
  this->schedulePump(Engine);
}

void VirtualDeployment::sendChunks(FakeEngine &Engine, EngineStream &Stream,
                                   ChunkBatch Chunks) {
  VirtualHost &To = *this->Hosts.at(Stream.Host);
  const Incarnation Life = Stream.HostLife;
  if (Stream.Broken || To.life() != Life)
    return;
  const auto Deliver = [this, &Engine, &To, Life](ChunkBatch Batch) {
    this->Queue.after(this->Net.delay(Engine.Listing.Id.Value, To.name()),
                      [&To, Life, Batch] {
                        To.whenRunning(Life,
                                       [&To, Batch] { To.receive(Batch); });
                      });
  };
  const bool Truncated =
      Engine.BatchesToTruncate > 0 && Engine.BatchesToTruncate--;
  if (Truncated || this->Net.isCut(Engine.Listing.Id.Value, To.name())) {
    Stream.Broken = true;
    return this->breakAfter(AnswerTimeout, {&To, Life, Chunks.Connection, {}},
                            false);
  }
  if (Engine.BatchesToMisroute > 0 && Engine.Streams.size() > 1) {
    --Engine.BatchesToMisroute;
    ChunkBatch Stray = Chunks;
    for (const auto &[Attempt, Other] : Engine.Streams)
      if (Other.Listener != Chunks.Connection)
        Stray.Connection = Other.Listener;
    Deliver(Stray);
  }
  if (Engine.BatchesToRepeat > 0) {
    --Engine.BatchesToRepeat;
    Deliver(Chunks);
  }
  Deliver(Chunks);
}

void VirtualDeployment::runOnApplication(FakeApplication &Application,
                                         const RequestHead &Head,
                                         const VirtualAttempt &SentAttempt) {
  AttemptOutcome Outcome = AttemptComplete{1, "done"};
  Duration Delay = Application.RunTime;
  if (Application.ReportsLeaving) {
    Outcome = AttemptRefused{AttemptRefused::Why::Leaving};
    Delay = Duration();
  } else {
    this->started(SentAttempt);
    if (Head.Operation)
      ++Application.Runs[Head.Operation->Value];
    if (Application.RunsToFail > 0 && Application.RunsToFail--)
      Outcome = AttemptFailed{"the run failed"};
    if (Application.AnswersToLose > 0 && Application.AnswersToLose--) {
      Outcome = AttemptBroken{};
      Delay = AnswerTimeout;
    }
  }
  this->Queue.after(Delay, [this, &Application, SentAttempt, Outcome,
                            Started = Application.Listing.Life] {
    const std::string &Name = Application.Listing.Id.Value;
    const bool Died = !Application.Alive || Application.Listing.Life != Started;
    if (this->Net.isCut(Name, SentAttempt.From->name()))
      return this->endAfter(AnswerTimeout, SentAttempt, AttemptBroken{});
    this->endAfter(this->Net.delay(Name, SentAttempt.From->name()), SentAttempt,
                   Died ? AttemptBroken{0, true} : Outcome);
  });
}

void VirtualDeployment::cancel(VirtualHost &From, const CancelAttempt &Wanted) {
  const Incarnation Life = From.life();
  const std::string Name = Wanted.Upstream.Value;
  const Reachability Reach = this->sendToUpstream(
      From.name(), Name, [this, &From, Life, Wanted, Name] {
        const auto Found = this->Engines.find(Name);
        if (Found != this->Engines.end()) {
          FakeEngine &Engine = Found->second;
          this->pump(Engine);
          const AttemptId Started = Engine.startedAttempt(Wanted.Attempt);
          Engine.Model.cancel(Started, this->now());
          Engine.Streams.erase(Started);
          this->schedulePump(Engine);
        }
        if (!this->Net.isCut(Name, From.name()))
          this->reply(Name, From, Life,
                      CancelAnswered{Wanted.Attempt, Wanted.Upstream, true});
      });
  if (Reach != Reachability::Open)
    this->replyAfter(AnswerTimeout, From, Life,
                     CancelAnswered{Wanted.Attempt, Wanted.Upstream, false});
}

} // namespace banyanpick
