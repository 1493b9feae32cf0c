#include "harness/VirtualHost.h"

#include "base/Visitor.h"
#include "harness/VirtualDeployment.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Minimum delay of a wake-up. Bounds the wake-ups of a kernel whose wake time
/// does not advance.
constexpr Duration MinWakeInterval = Duration(100);
/// Time that a stopping host waits for callers that still receive answers.
constexpr Duration MaxStopTime = seconds(5);

} // namespace

VirtualHost::VirtualHost(VirtualDeployment &Deployment, HostListing Listing)
    : Deployment(Deployment), Listing(std::move(Listing)) {}

void VirtualHost::start(Incarnation NewLife, std::uint64_t NewSeed) {
  this->kill();
  this->Life = NewLife;
  this->Seed = NewSeed;
  this->HostKernel =
      this->Deployment.makeKernel(this->Listing, NewLife, NewSeed);
  this->deliver(Tick{});
}

void VirtualHost::kill() {
  this->HostKernel.reset();
  this->Life = Incarnation();
  this->Frozen = this->Stopping = false;
  this->WakeAt = Never;
  this->Attempts.clear();
  this->DeferredWork.clear();
  this->Relays.clear();
  this->Reconnecting.clear();
  this->Deployment.connectionsLost(this->name());
}

void VirtualHost::freeze() {
  this->Frozen = true;
  for (const auto &[Request, Relay] : this->Relays)
    if (Relay.Caller)
      this->Deployment.Callers[*Relay.Caller].HostWasFrozen = true;
}

void VirtualHost::thaw() {
  this->Frozen = false;
  this->ThawedAt = this->Deployment.now();
  const Incarnation Before = this->Life;
  for (const auto &Work : std::exchange(this->DeferredWork, {}))
    if (this->Life == Before)
      Work();
  this->WakeAt = Never;
  if (this->HostKernel)
    this->scheduleWake();
}

void VirtualHost::whenRunning(Incarnation Expected,
                              std::function<void()> Work) {
  if (!this->HostKernel || this->Life != Expected)
    return;
  if (this->Frozen)
    this->DeferredWork.push_back(std::move(Work));
  else
    Work();
}

void VirtualHost::deliver(const Event &Incoming) {
  if (!this->Frozen)
    return this->handleEvent(Incoming);
  this->whenRunning(this->Life,
                    [this, Incoming] { this->handleEvent(Incoming); });
}

void VirtualHost::handleEvent(const Event &Incoming) {
  if (!this->HostKernel)
    return;
  ++this->Deployment.Steps;
  const std::uint64_t Broken = this->HostKernel->invariantsBroken();
  auto Wanted = this->HostKernel->handle(Incoming, this->Deployment.now());
  if (this->Deployment.OnHandled)
    this->Deployment.OnHandled(*this, Incoming, this->Deployment.now(), Wanted);
  if (this->HostKernel->invariantsBroken() != Broken)
    this->Deployment.violation("kernel of " + this->name() +
                               " broke an invariant");
  this->scheduleWake();
  if (this->Deployment.Options.ActionDelay == Duration())
    return this->carryOut(Wanted);
  this->Deployment.Queue.after(
      this->Deployment.Options.ActionDelay,
      [this, Now = this->Life, Wanted = std::move(Wanted)] {
        this->whenRunning(Now, [this, Wanted] { this->carryOut(Wanted); });
      });
}

void VirtualHost::scheduleWake() {
  const Time Wanted = this->HostKernel->nextWake();
  if (Wanted >= this->WakeAt)
    return;
  this->WakeAt = std::max(Wanted, this->Deployment.now() + MinWakeInterval);
  this->Deployment.Queue.at(
      this->WakeAt, [this, Now = this->Life, Planned = this->WakeAt] {
        if (this->Life != Now || this->Frozen || this->WakeAt != Planned)
          return;
        this->WakeAt = Never;
        if (this->HostKernel->nextWake() <= this->Deployment.now())
          this->handleEvent(Tick{});
        else
          this->scheduleWake();
      });
}

RequestId VirtualHost::connect(std::size_t Caller, const RequestHead &NewHead) {
  const RequestId Id(++this->RequestsMade);
  RelayedAnswer Relay;
  Relay.Head = NewHead;
  Relay.Head->Id = Id;
  Relay.Caller = Caller;
  Relay.Content = NewHead.Content;
  this->Relays[Id] = Relay;
  this->deliver(RequestArrived{*Relay.Head});
  return Id;
}

RequestId VirtualHost::reconnect(std::size_t Caller, const std::string &Token,
                                 std::uint64_t NextIndex) {
  const RequestId Id(++this->RequestsMade);
  this->Reconnecting[Id] = Caller;
  const std::string Key = this->Deployment.Callers[Caller].Head.TeamKey;
  this->deliver(ResumeRequest{Id, Key, Token, NextIndex});
  return Id;
}

void VirtualHost::disconnect(std::size_t Caller) {
  for (auto &[Request, Relay] : this->Relays) {
    if (Relay.Caller != Caller)
      continue;
    Relay.Caller.reset();
    return this->deliver(CallerDisconnected{Request});
  }
}

void VirtualHost::receive(const ChunkBatch &Chunks) {
  const auto Found = this->Attempts.find(Chunks.Connection);
  if (Found == this->Attempts.end() || Found->second.Echoed != Chunks.Echoed) {
    ++this->Deployment.Counts["harness_chunks_dropped"];
    return;
  }
  PendingAttempt &From = Found->second;
  RelayedAnswer &To = this->Relays[From.Request];
  const std::uint64_t End = Chunks.FirstIndex + Chunks.Count;
  if (Chunks.FirstIndex > To.Next || (Chunks.Ended && End < To.Next))
    return this->breakAttempt(Chunks.Connection, false);
  const std::uint64_t Before = To.Next;
  To.Next = std::max(To.Next, End);
  if (To.Caller && To.Next > Before)
    this->Deployment.chunksTo(*To.Caller, *this, Chunks.Content, Before,
                              To.Next);
  if (Chunks.Ended)
    return this->endAttempt(Chunks.Connection, AttemptComplete{To.Next, {}});
  const bool CrossesInterval =
      Before / ProgressInterval != To.Next / ProgressInterval;
  if (From.Progressed && !CrossesInterval)
    return;
  From.Progressed = true;
  this->deliver(AttemptProgressed{Chunks.Connection, To.Next});
}

void VirtualHost::breakAttempt(const AttemptId &Attempt, bool UpstreamDied) {
  const auto Found = this->Attempts.find(Attempt);
  if (Found == this->Attempts.end())
    return;
  const std::uint64_t Next = this->Relays[Found->second.Request].Next;
  this->endAttempt(Attempt, AttemptBroken{Next, UpstreamDied});
}

void VirtualHost::endAttempt(const AttemptId &Attempt,
                             const AttemptOutcome &Outcome) {
  if (this->Attempts.erase(Attempt) != 0)
    this->deliver(AttemptEnded{Attempt, Outcome});
}

std::optional<std::size_t>
VirtualHost::callerOf(const AttemptId &Attempt) const {
  const auto Found = this->Attempts.find(Attempt);
  if (Found == this->Attempts.end())
    return std::nullopt;
  const auto Relay = this->Relays.find(Found->second.Request);
  return Relay == this->Relays.end() ? std::nullopt : Relay->second.Caller;
}

void VirtualHost::dispatch(const DispatchAttempt &Wanted) {
  RelayedAnswer &Relay = this->Relays[Wanted.Request];
  if (!Relay.Head && Wanted.AttachTo)
    Relay.Base = Relay.Next = Wanted.NextIndex;
  const AttemptId Echoed = Wanted.AttachTo.value_or(Wanted.Attempt);
  this->Attempts[Wanted.Attempt] = {Wanted.Request, Wanted.Upstream, Echoed};
  if (!Relay.Head && !Wanted.AttachTo)
    return this->endAttempt(Wanted.Attempt, AttemptNeverSent{});
  this->Deployment.dispatch(*this, Wanted, Relay.Head.value_or(RequestHead{}));
}

void VirtualHost::answer(const AnswerRequest &Wanted) {
  const auto Resuming = this->Reconnecting.find(Wanted.Request);
  if (Resuming != this->Reconnecting.end()) {
    const std::size_t Caller = Resuming->second;
    this->Reconnecting.erase(Resuming);
    return this->Deployment.connectionLost(Caller);
  }
  const auto Found = this->Relays.find(Wanted.Request);
  if (Found == this->Relays.end())
    return this->Deployment.violation(this->name() +
                                      " answered an unknown request");
  if (Found->second.Caller)
    this->Deployment.answerTo(*Found->second.Caller, *this, Wanted.Answer);
  this->endRelay(Wanted.Request);
}

void VirtualHost::redirect(const RedirectCaller &Wanted) {
  const auto Found = this->Relays.find(Wanted.Request);
  if (Found == this->Relays.end())
    return;
  if (Found->second.Caller)
    this->Deployment.redirectTo(*Found->second.Caller, Wanted.To,
                                Wanted.ResumeToken);
  this->endRelay(Wanted.Request);
}

void VirtualHost::join(const JoinStream &Wanted) {
  const auto Resuming = this->Reconnecting.find(Wanted.Request);
  const auto Found = this->Relays.find(Wanted.Stream);
  if (Resuming == this->Reconnecting.end() || Found == this->Relays.end())
    return;
  const std::size_t Caller = Resuming->second;
  this->Reconnecting.erase(Resuming);
  RelayedAnswer &Relay = Found->second;
  if (!Relay.Head)
    Relay.Content = this->Deployment.Callers[Caller].Head.Content;
  if (Wanted.NextIndex < Relay.Base)
    return this->Deployment.violation(
        "a stream was resumed before its first available chunk");
  Relay.Caller = Caller;
  if (Relay.Next > Wanted.NextIndex)
    this->Deployment.chunksTo(Caller, *this, Relay.Content, Wanted.NextIndex,
                              Relay.Next);
}

void VirtualHost::endRelay(const RequestId &Request) {
  this->Relays.erase(Request);
  std::erase_if(this->Attempts, [&](const auto &Entry) {
    return Entry.second.Request == Request;
  });
}

void VirtualHost::beginStop() {
  this->Stopping = true;
  this->Deployment.Queue.after(MaxStopTime, [this, Now = this->Life] {
    if (this->Life != Now || this->Frozen)
      return;
    this->Deployment.violation("the planned stop of " + this->name() +
                               " cut off a request");
    this->kill();
  });
  this->stopWhenIdle();
}

void VirtualHost::stopWhenIdle() {
  const bool Busy =
      std::any_of(this->Relays.begin(), this->Relays.end(),
                  [](const auto &Entry) { return Entry.second.Caller; });
  if (this->Stopping && !Busy && this->Reconnecting.empty())
    this->kill();
}

void VirtualHost::carryOut(const std::vector<Action> &Wanted) {
  const Incarnation Now = this->Life;
  for (const Action &Command : Wanted)
    if (this->Life == Now)
      this->carryOut(Command);
  if (this->Life == Now)
    this->stopWhenIdle();
}

void VirtualHost::carryOut(const Action &Wanted) {
  VirtualDeployment &To = this->Deployment;
  match(
      Wanted,
      [&](const AcceptRequest &Command) {
        const auto Found = this->Relays.find(Command.Request);
        if (Found != this->Relays.end() && Found->second.Caller)
          To.accepted(*Found->second.Caller, *this, Command.ResumeToken);
      },
      [&](const AnswerRequest &Command) { this->answer(Command); },
      [&](const RedirectCaller &Command) { this->redirect(Command); },
      [&](const JoinStream &Command) { this->join(Command); },
      [&](const AnswerResolve &Command) { To.resolved(Command); },
      [&](const DispatchAttempt &Command) { this->dispatch(Command); },
      [&](const CancelAttempt &Command) {
        this->Attempts.erase(Command.Attempt);
        To.cancel(*this, Command);
      },
      [&](const PollLoad &Command) { To.pollLoad(*this, Command); },
      [&](const PollCacheEvents &Command) { To.pollCache(*this, Command); },
      [&](const TakeHold &Command) { To.takeHold(*this, Command); },
      [&](const ReleaseHold &Command) { To.releaseHold(*this, Command); },
      [&](const OrderUpstream &Command) { To.order(*this, Command); },
      [&](const ReadHostList &) { To.readHostList(*this); },
      [&](const ReadLog &Command) { To.readLog(*this, Command); },
      [&](const AppendToLog &Command) { To.append(*this, Command); },
      [&](const SendToPeer &Command) { To.sendPeer(*this, Command); },
      [&](const ConnectPeers &) {},
      [&](const AnswerOperator &Command) { To.operatorAnswered(Command); },
      [&](const WriteLogLine &Command) {
        if (To.OnLogLine)
          To.OnLogLine(this->name(), Command.Line);
      },
      [&](const RecordMeasurement &Command) { To.measured(Command); },
      [&](const StopNow &) { this->beginStop(); },
      [](const GatewayAction &) {});
}

} // namespace banyanpick
