#include "app/AttemptTable.h"

namespace banyanpick {

class AttemptTable::ActiveEngineAttempt final
    : public AttemptTable::ActiveAttempt {
public:
  ActiveEngineAttempt(const net::any_io_executor &Executor,
                      DispatchAttempt Wanted, const TrafficContext &Context)
      : Execution(Executor, std::move(Wanted), Context.Self.Host,
                  Context.Platform) {}

  void abort() override { this->Execution.cancel(); }
  AttemptId streamId() const override { return this->Execution.streamId(); }

  EngineAttempt Execution;
};

class AttemptTable::ActiveServiceCall final
    : public AttemptTable::ActiveAttempt {
public:
  ActiveServiceCall(const net::any_io_executor &Executor,
                    DispatchAttempt Wanted, const TrafficContext &Context)
      : Execution(Executor, std::move(Wanted), Context.Self.Host,
                  Context.Platform) {}

  void abort() override { this->Execution.cancel(); }
  AttemptId streamId() const override { return this->Id; }

  ServiceCall Execution;
};

void AttemptTable::dispatch(DispatchAttempt Wanted,
                            std::shared_ptr<RelayEntry> Entry) {
  if (!Entry || Entry->isEnded()) {
    this->reportUnsent(Wanted.Attempt, AttemptNeverSent{});
    return;
  }
  const bool ToEngine = Wanted.Kind == UpstreamKind::Engine;
  const bool IsCompletion =
      Entry->content().Type == RequestContent::Kind::Completion;
  if (ToEngine != IsCompletion) {
    this->reportUnsent(
        Wanted.Attempt,
        AttemptFailed{"the class takes the other kind of request: completions "
                      "go to models, calls to application services"});
    return;
  }
  // The chunks received here are more recent than the index known to control.
  Wanted.NextIndex = Entry->chunks().end();
  if (ToEngine) {
    auto Active = std::make_shared<ActiveEngineAttempt>(this->Executor, Wanted,
                                                        this->Context);
    Active->Entry = std::move(Entry);
    this->start(Active, Wanted);
    net::co_spawn(this->Executor, this->runEngine(std::move(Active)),
                  net::detached);
    return;
  }
  auto Active = std::make_shared<ActiveServiceCall>(this->Executor, Wanted,
                                                    this->Context);
  Active->Entry = std::move(Entry);
  this->start(Active, Wanted);
  net::co_spawn(this->Executor, this->runService(std::move(Active)),
                net::detached);
}

void AttemptTable::start(std::shared_ptr<ActiveAttempt> Active,
                         const DispatchAttempt &Wanted) {
  Active->Owner = this;
  Active->Id = Wanted.Attempt;
  Active->Upstream = Wanted.Upstream;
  Active->At = Wanted.At;
  this->ActiveAttempts[Wanted.Attempt] = std::move(Active);
}

Task<void>
AttemptTable::runEngine(std::shared_ptr<ActiveEngineAttempt> Active) {
  if (Active->Cancelled || Active->Entry->isEnded()) {
    this->finish(*Active, AttemptNeverSent{});
    co_return;
  }
  AttemptOutcome Outcome = co_await Active->Execution.run(
      Active->Entry->content().Text, *Active, this->Context.Clock.now());
  if (Active->Execution.dropped() > 0)
    this->Context.HostMetrics.record(
        {RecordMeasurement::Kind::Count, "chunks_dropped",
         Active->Upstream.Value,
         static_cast<double>(Active->Execution.dropped())});
  this->finish(*Active, std::move(Outcome));
}

Task<void> AttemptTable::runService(std::shared_ptr<ActiveServiceCall> Active) {
  if (Active->Cancelled || Active->Entry->isEnded()) {
    this->finish(*Active, AttemptNeverSent{});
    co_return;
  }
  const RequestContent &Content = Active->Entry->content();
  AttemptOutcome Outcome = co_await Active->Execution.run(
      Content.OperationKey, Content.Text, this->Context.Clock.now());
  this->finish(*Active, std::move(Outcome));
}

Task<void> AttemptTable::ActiveAttempt::take(std::uint64_t Index,
                                             std::string Text) {
  if (this->Cancelled || Index != this->Entry->chunks().end())
    co_return;
  this->Entry->append(std::move(Text));
  if (this->ChunkCount++ % this->Owner->Context.Traffic.ProgressChunks == 0)
    this->Owner->reportProgress(*this);
  if (this->Entry->isTooLarge()) {
    this->TooLarge = true;
    this->abort();
    co_return;
  }
  while (!this->Cancelled && this->Entry->isFull())
    co_await this->Entry->changed();
}

void AttemptTable::reportProgress(const ActiveAttempt &Active) const {
  const ChunkBuffer &Chunks = Active.Entry->chunks();
  this->Context.Events.send(
      AttemptProgressed{Active.Id, std::min(Chunks.delivered(), Chunks.end())});
}

void AttemptTable::finish(ActiveAttempt &Active, AttemptOutcome Outcome) {
  if (Active.Cancelled)
    return;
  this->ActiveAttempts.erase(Active.Id);
  const ChunkBuffer &Chunks = Active.Entry->chunks();
  if (auto *Broken = std::get_if<AttemptBroken>(&Outcome))
    Broken->NextIndex = std::min(Chunks.delivered(), Chunks.end());
  if (Active.TooLarge) {
    Outcome = AttemptFailed{"the answer is larger than this host keeps; ask "
                            "for it as a stream"};
    net::co_spawn(this->Executor,
                  this->cancelUpstream({Active.Id, Active.Upstream, Active.At},
                                       Active.streamId()),
                  net::detached);
  }
  this->Context.Events.send(AttemptEnded{Active.Id, std::move(Outcome)});
}

void AttemptTable::cancel(CancelAttempt Wanted) {
  AttemptId Stream = Wanted.Attempt;
  const auto Found = this->ActiveAttempts.find(Wanted.Attempt);
  if (Found != this->ActiveAttempts.end()) {
    const std::shared_ptr<ActiveAttempt> Active = std::move(Found->second);
    this->ActiveAttempts.erase(Found);
    Stream = Active->streamId();
    Active->Cancelled = true;
    Active->abort();
    Active->Entry->wakeAll();
  }
  net::co_spawn(this->Executor, this->cancelUpstream(std::move(Wanted), Stream),
                net::detached);
}

Task<void> AttemptTable::cancelUpstream(CancelAttempt Wanted,
                                        AttemptId Stream) {
  Event Answer = co_await this->Client.cancel(std::move(Wanted), Stream);
  this->Context.Events.send(std::move(Answer));
}

void AttemptTable::reportUnsent(const AttemptId &Id,
                                AttemptOutcome Outcome) const {
  this->Context.Events.send(AttemptEnded{Id, std::move(Outcome)});
}

} // namespace banyanpick
