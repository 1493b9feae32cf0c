#include "app/ActionRouter.h"

#include "base/EventNumbers.h"
#include "logging/LineLog.h"

namespace banyanpick {

ActionRouter::ActionRouter(
    std::span<const std::unique_ptr<TrafficThread>> ThreadsGiven,
    PeerNetwork &Peers, Metrics &HostMetrics, const ProcessClock &Clock,
    std::function<void()> OnStopGiven)
    : Peers(Peers), HostMetrics(HostMetrics), Clock(Clock),
      OnStop(std::move(OnStopGiven)) {
  for (const auto &Thread : ThreadsGiven)
    this->Threads.push_back(Thread.get());
}

void ActionRouter::perform(std::vector<Action> Wanted) {
  for (Action &NextAction : Wanted)
    std::visit(
        [this](auto &Alternative) { this->perform(std::move(Alternative)); },
        NextAction);
}

TrafficThread &ActionRouter::threadOf(std::uint64_t Number) const {
  return *this->Threads[Number % this->Threads.size()];
}

template <class ActionType>
void ActionRouter::postTo(std::uint64_t Number, ActionType Wanted) {
  TrafficThread &Thread = this->threadOf(Number);
  Thread.post([&Thread, Wanted = std::move(Wanted)]() mutable {
    Thread.perform(std::move(Wanted));
  });
}

/// Calls to one upstream run on one thread and reuse its open connections.
template <class UpstreamAction>
void ActionRouter::perform(UpstreamAction Wanted) {
  const std::size_t Number = std::hash<UpstreamId>()(Wanted.Upstream);
  this->postTo(Number, std::move(Wanted));
}

void ActionRouter::perform(DispatchAttempt Wanted) {
  this->Attempts[Wanted.Attempt] = Wanted.Request.Value;
  const std::uint64_t Number = Wanted.Request.Value;
  this->postTo(Number, std::move(Wanted));
}

void ActionRouter::perform(CancelAttempt Wanted) {
  const auto Found = this->Attempts.find(Wanted.Attempt);
  const bool IsRunning = Found != this->Attempts.end();
  const std::uint64_t Number = IsRunning ? Found->second : 0;
  if (IsRunning)
    this->Attempts.erase(Found);
  this->postTo(Number, std::move(Wanted));
}

void ActionRouter::perform(JoinStream Wanted) {
  TrafficThread &Owner = this->threadOf(Wanted.Stream.Value);
  TrafficThread &Asker = this->threadOf(Wanted.Request.Value);
  Owner.post([&Owner, &Asker, Wanted] {
    auto Stream = Owner.relays().find(Wanted.Stream);
    Asker.post([&Asker, Wanted, Stream = std::move(Stream)] {
      const auto Entry = Asker.relays().find(Wanted.Request);
      if (Entry && Stream)
        Entry->join(Stream, Wanted.NextIndex);
      else if (Entry)
        Entry->answer(NotRun{RefusalReason::BadRequest, Duration(0),
                             "the stream has ended; send the request anew"});
    });
  });
}

void ActionRouter::perform(AcceptRequest Wanted) {
  const std::uint64_t Id = Wanted.Request.Value;
  this->postTo(Id, std::move(Wanted));
}

void ActionRouter::perform(AnswerRequest Wanted) {
  const std::uint64_t Id = Wanted.Request.Value;
  this->postTo(Id, std::move(Wanted));
}

void ActionRouter::perform(RedirectCaller Wanted) {
  const std::uint64_t Id = Wanted.Request.Value;
  this->postTo(Id, std::move(Wanted));
}

void ActionRouter::perform(AnswerResolve Wanted) {
  const std::uint64_t Id = Wanted.Id.Value;
  this->postTo(Id, std::move(Wanted));
}

void ActionRouter::perform(AnswerOperator Wanted) {
  const std::uint64_t Id = Wanted.Id.Value;
  this->postTo(Id, std::move(Wanted));
}

void ActionRouter::perform(SendToPeer Wanted) {
  this->Peers.send(Wanted.To, std::move(Wanted.Body));
}

void ActionRouter::perform(ConnectPeers Wanted) {
  this->Peers.connect(std::move(Wanted));
}

void ActionRouter::perform(const WriteLogLine &Wanted) {
  writeLogLine(Wanted.Line, this->Clock.now());
}

void ActionRouter::perform(const RecordMeasurement &Wanted) {
  this->HostMetrics.record(Wanted);
}

void ActionRouter::perform(const GatewayAction &) {
  // A kernel that serves a catalogue contains no gateway plug-in.
  writeLogLine(logEvent(events::InvariantBroken)
                   .with("invariant", "only a gateway relays")
                   .build(),
               this->Clock.now());
}

void ActionRouter::perform(StopNow) { this->OnStop(); }

} // namespace banyanpick
