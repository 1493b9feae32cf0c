#include "app/TrafficThread.h"

#include "app/TrafficLoop.h"

namespace banyanpick {

TrafficThread::TrafficThread(std::uint64_t Index, std::uint64_t Count,
                             const TrafficContext &Context)
    : Context(Context), Io(1), Work(net::make_work_guard(this->Io)),
      Relays(this->Io.get_executor(), Context.Events, Context.Traffic.Relay,
             Context.Traffic.KeepEnded, Count + Index, Count),
      Attempts(this->Io.get_executor(), Context),
      ResolveAnswers(this->Io.get_executor()),
      OperatorAnswers(this->Io.get_executor()),
      Upstreams(this->Io.get_executor(), Context.Self.Host, Context.Platform),
      Platform(this->Io.get_executor(), Context.Platform) {}

TrafficThread::~TrafficThread() { this->stop(); }

void TrafficThread::start() {
  this->Thread =
      std::thread([this] { runTrafficLoop(this->Io, this->Context.Clock); });
}

void TrafficThread::stop() {
  this->Io.stop();
  if (this->Thread.joinable())
    this->Thread.join();
}

void TrafficThread::perform(AcceptRequest Wanted) {
  if (const auto Entry = this->Relays.find(Wanted.Request))
    Entry->accept(std::move(Wanted.ResumeToken));
}

void TrafficThread::perform(AnswerRequest Wanted) {
  const auto Entry = this->Relays.find(Wanted.Request);
  if (!Entry)
    return;
  Entry->answer(std::move(Wanted.Answer));
  if (Entry->isStreamed() && Entry->isAccepted() && !Entry->hasWriter())
    this->Relays.removeLater(Wanted.Request);
}

void TrafficThread::perform(RedirectCaller Wanted) {
  const RequestId Id = Wanted.Request;
  const auto Entry = this->Relays.find(Id);
  if (!Entry)
    return;
  Entry->redirect(std::move(Wanted));
  if (!Entry->hasWriter())
    this->Relays.remove(Id);
}

void TrafficThread::perform(DispatchAttempt Wanted) {
  auto Entry = this->Relays.find(Wanted.Request);
  if (!Entry && Wanted.AttachTo)
    Entry = this->Relays.adopt(Wanted.Request, Wanted.NextIndex);
  this->Attempts.dispatch(std::move(Wanted), std::move(Entry));
}

void TrafficThread::perform(AnswerResolve Wanted) {
  const std::uint64_t Id = Wanted.Id.Value;
  this->ResolveAnswers.answer(Id, std::move(Wanted));
}

void TrafficThread::perform(AnswerOperator Wanted) {
  this->OperatorAnswers.answer(Wanted.Id.Value, std::move(Wanted.Answer));
}

void TrafficThread::perform(PollLoad Wanted) {
  this->report(this->Upstreams.pollLoad(std::move(Wanted)));
}

void TrafficThread::perform(PollCacheEvents Wanted) {
  net::co_spawn(this->Io, this->reportCacheEvents(std::move(Wanted)),
                net::detached);
}

void TrafficThread::perform(TakeHold Wanted) {
  this->report(this->Upstreams.takeHold(std::move(Wanted)));
}

void TrafficThread::perform(ReleaseHold Wanted) {
  net::co_spawn(this->Io, this->Upstreams.releaseHold(std::move(Wanted)),
                net::detached);
}

void TrafficThread::perform(OrderUpstream Wanted) {
  const Time Now = this->Context.Clock.now();
  this->report(this->Upstreams.order(std::move(Wanted), Now));
}

void TrafficThread::perform(ReadHostList) {
  this->report(this->Platform.readHostList());
}

void TrafficThread::perform(ReadLog Wanted) {
  this->report(this->Platform.read(Wanted));
}

void TrafficThread::perform(AppendToLog Wanted) {
  this->report(this->Platform.append(std::move(Wanted)));
}

void TrafficThread::report(Task<Event> Call) {
  net::co_spawn(this->Io, this->reportWhenDone(std::move(Call)), net::detached);
}

Task<void> TrafficThread::reportWhenDone(Task<Event> Call) {
  Event Result = co_await std::move(Call);
  this->Context.Events.send(std::move(Result));
}

Task<void> TrafficThread::reportCacheEvents(PollCacheEvents Wanted) {
  std::optional<Event> Result =
      co_await this->Upstreams.pollCacheEvents(std::move(Wanted));
  if (Result)
    this->Context.Events.send(std::move(*Result));
}

} // namespace banyanpick
