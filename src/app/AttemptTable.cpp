#include "app/AttemptTable.h"

namespace banyanpick {

class AttemptTable::EngineRun final : public AttemptTable::Run {
public:
  EngineRun(const net::any_io_executor &Executor, DispatchAttempt Wanted,
            const TrafficContext &Context)
      : Try(Executor, std::move(Wanted), Context.Self.Host, Context.Platform) {}

  void drop() override { this->Try.cancel(); }
  AttemptId streamId() const override { return this->Try.streamId(); }

  EngineAttempt Try;
};

class AttemptTable::ServiceRun final : public AttemptTable::Run {
public:
  ServiceRun(const net::any_io_executor &Executor, DispatchAttempt Wanted,
             const TrafficContext &Context)
      : Try(Executor, std::move(Wanted), Context.Self.Host, Context.Platform) {}

  void drop() override { this->Try.cancel(); }
  AttemptId streamId() const override { return this->Id; }

  ServiceCall Try;
};

void AttemptTable::dispatch(DispatchAttempt Wanted,
                            std::shared_ptr<RelayEntry> Entry) {
  if (!Entry || Entry->isEnded()) {
    this->reportUnsent(Wanted.Attempt, AttemptNeverSent{});
    return;
  }
  const bool ToEngine = Wanted.Kind == UpstreamKind::Engine;
  const bool IsCompletion =
      Entry->content().What == RequestContent::Kind::Completion;
  if (ToEngine != IsCompletion) {
    this->reportUnsent(
        Wanted.Attempt,
        AttemptFailed{"the class takes the other kind of request: completions "
                      "go to models, calls to application services"});
    return;
  }
  // What came of the answer already stands here, newer than control knows.
  Wanted.NextIndex = Entry->chunks().end();
  if (ToEngine) {
    auto Each =
        std::make_shared<EngineRun>(this->Executor, Wanted, this->Context);
    Each->Entry = std::move(Entry);
    this->start(Each, Wanted);
    net::co_spawn(this->Executor, this->runEngine(std::move(Each)),
                  net::detached);
    return;
  }
  auto Each =
      std::make_shared<ServiceRun>(this->Executor, Wanted, this->Context);
  Each->Entry = std::move(Entry);
  this->start(Each, Wanted);
  net::co_spawn(this->Executor, this->runService(std::move(Each)),
                net::detached);
}

void AttemptTable::start(std::shared_ptr<Run> Each,
                         const DispatchAttempt &Wanted) {
  Each->Owner = this;
  Each->Id = Wanted.Attempt;
  Each->Upstream = Wanted.Upstream;
  Each->At = Wanted.At;
  this->Live[Wanted.Attempt] = std::move(Each);
}

Task<void> AttemptTable::runEngine(std::shared_ptr<EngineRun> Each) {
  if (Each->Cancelled || Each->Entry->isEnded()) {
    this->ended(*Each, AttemptNeverSent{});
    co_return;
  }
  AttemptOutcome Outcome = co_await Each->Try.run(
      Each->Entry->content().Text, *Each, this->Context.Clock.now());
  if (Each->Try.dropped() > 0)
    this->Context.HostMetrics.record(
        {RecordMeasurement::Kind::Count, "chunks_dropped", Each->Upstream.Value,
         static_cast<double>(Each->Try.dropped())});
  this->ended(*Each, std::move(Outcome));
}

Task<void> AttemptTable::runService(std::shared_ptr<ServiceRun> Each) {
  if (Each->Cancelled || Each->Entry->isEnded()) {
    this->ended(*Each, AttemptNeverSent{});
    co_return;
  }
  const RequestContent &Content = Each->Entry->content();
  AttemptOutcome Outcome = co_await Each->Try.run(
      Content.OperationKey, Content.Text, this->Context.Clock.now());
  this->ended(*Each, std::move(Outcome));
}

Task<void> AttemptTable::Run::take(std::uint64_t Index, std::string Text) {
  if (this->Cancelled || Index != this->Entry->chunks().end())
    co_return;
  this->Entry->append(std::move(Text));
  if (this->Taken++ % this->Owner->Context.Traffic.ProgressChunks == 0)
    this->Owner->progressed(*this);
  if (this->Entry->isTooLarge()) {
    this->TooLarge = true;
    this->drop();
    co_return;
  }
  while (!this->Cancelled && this->Entry->isFull())
    co_await this->Entry->changed();
}

void AttemptTable::progressed(const Run &Each) const {
  const ChunkBuffer &Chunks = Each.Entry->chunks();
  this->Context.Events.send(
      AttemptProgressed{Each.Id, std::min(Chunks.delivered(), Chunks.end())});
}

void AttemptTable::ended(Run &Each, AttemptOutcome Outcome) {
  if (Each.Cancelled)
    return;
  this->Live.erase(Each.Id);
  const ChunkBuffer &Chunks = Each.Entry->chunks();
  if (auto *Broken = std::get_if<AttemptBroken>(&Outcome))
    Broken->NextIndex = std::min(Chunks.delivered(), Chunks.end());
  if (Each.TooLarge) {
    Outcome = AttemptFailed{"the answer is larger than this host keeps; ask "
                            "for it as a stream"};
    net::co_spawn(
        this->Executor,
        this->tellUpstream({Each.Id, Each.Upstream, Each.At}, Each.streamId()),
        net::detached);
  }
  this->Context.Events.send(AttemptEnded{Each.Id, std::move(Outcome)});
}

void AttemptTable::cancel(CancelAttempt Wanted) {
  AttemptId Stream = Wanted.Attempt;
  const auto Found = this->Live.find(Wanted.Attempt);
  if (Found != this->Live.end()) {
    const std::shared_ptr<Run> Each = std::move(Found->second);
    this->Live.erase(Found);
    Stream = Each->streamId();
    Each->Cancelled = true;
    Each->drop();
    Each->Entry->wakeAll();
  }
  net::co_spawn(this->Executor, this->tellUpstream(std::move(Wanted), Stream),
                net::detached);
}

Task<void> AttemptTable::tellUpstream(CancelAttempt Wanted, AttemptId Stream) {
  Event Answer = co_await this->Client.cancel(std::move(Wanted), Stream);
  this->Context.Events.send(std::move(Answer));
}

void AttemptTable::reportUnsent(const AttemptId &Id,
                                AttemptOutcome Outcome) const {
  this->Context.Events.send(AttemptEnded{Id, std::move(Outcome)});
}

} // namespace banyanpick
