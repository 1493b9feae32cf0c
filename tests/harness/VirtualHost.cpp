#include "harness/VirtualHost.h"

#include "base/Visitor.h"
#include "harness/VirtualDeployment.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// A kernel whose wake time does not move on is woken no more often than this.
constexpr Duration ShortestSleep = Duration(100);
/// A process that may end waits so long for answers being written.
constexpr Duration LongestFinish = seconds(5);

} // namespace

VirtualHost::VirtualHost(VirtualDeployment &Deployment, HostListing Listing)
    : Deployment(Deployment), Listing(std::move(Listing)) {}

void VirtualHost::start(Incarnation NewLife, std::uint64_t NewSeed) {
  this->kill();
  this->Life = NewLife;
  this->Seed = NewSeed;
  this->Brain = this->Deployment.makeKernel(this->Listing, NewLife, NewSeed);
  this->deliver(Tick{});
}

void VirtualHost::kill() {
  this->Brain.reset();
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
  for (const auto &[Request, Each] : this->Relays)
    if (Each.Caller)
      this->Deployment.Callers[*Each.Caller].HostWasFrozen = true;
}

void VirtualHost::thaw() {
  this->Frozen = false;
  this->ThawedAt = this->Deployment.now();
  const Incarnation Before = this->Life;
  for (const auto &Each : std::exchange(this->DeferredWork, {}))
    if (this->Life == Before)
      Each();
  this->WakeAt = Never;
  if (this->Brain)
    this->scheduleWake();
}

void VirtualHost::whenRunning(Incarnation Expected,
                              std::function<void()> Todo) {
  if (!this->Brain || this->Life != Expected)
    return;
  if (this->Frozen)
    this->DeferredWork.push_back(std::move(Todo));
  else
    Todo();
}

void VirtualHost::deliver(const Event &Incoming) {
  if (!this->Frozen)
    return this->react(Incoming);
  this->whenRunning(this->Life, [this, Incoming] { this->react(Incoming); });
}

void VirtualHost::react(const Event &Incoming) {
  if (!this->Brain)
    return;
  ++this->Deployment.Steps;
  const std::uint64_t Broken = this->Brain->invariantsBroken();
  auto Wanted = this->Brain->handle(Incoming, this->Deployment.now());
  if (this->Deployment.OnHandled)
    this->Deployment.OnHandled(*this, Incoming, this->Deployment.now(), Wanted);
  if (this->Brain->invariantsBroken() != Broken)
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
  const Time Wanted = this->Brain->nextWake();
  if (Wanted >= this->WakeAt)
    return;
  this->WakeAt = std::max(Wanted, this->Deployment.now() + ShortestSleep);
  this->Deployment.Queue.at(
      this->WakeAt, [this, Now = this->Life, Planned = this->WakeAt] {
        if (this->Life != Now || this->Frozen || this->WakeAt != Planned)
          return;
        this->WakeAt = Never;
        if (this->Brain->nextWake() <= this->Deployment.now())
          this->react(Tick{});
        else
          this->scheduleWake();
      });
}

RequestId VirtualHost::connect(std::size_t Caller, const RequestHead &Given) {
  const RequestId Id(++this->RequestsMade);
  Relay Made;
  Made.Head = Given;
  Made.Head->Id = Id;
  Made.Caller = Caller;
  Made.Content = Given.Content;
  this->Relays[Id] = Made;
  this->deliver(RequestArrived{*Made.Head});
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
  for (auto &[Request, Each] : this->Relays) {
    if (Each.Caller != Caller)
      continue;
    Each.Caller.reset();
    return this->deliver(CallerDisconnected{Request});
  }
}

void VirtualHost::receive(const ChunkBatch &Chunks) {
  const auto Found = this->Attempts.find(Chunks.Connection);
  if (Found == this->Attempts.end() || Found->second.Echoed != Chunks.Echoed) {
    ++this->Deployment.Counts["harness_chunks_dropped"];
    return;
  }
  Incoming &From = Found->second;
  Relay &To = this->Relays[From.Request];
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
  const bool Coarse = Before / ProgressInterval != To.Next / ProgressInterval;
  if (From.Progressed && !Coarse)
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
  const auto Of = this->Relays.find(Found->second.Request);
  return Of == this->Relays.end() ? std::nullopt : Of->second.Caller;
}

void VirtualHost::dispatch(const DispatchAttempt &Wanted) {
  Relay &Of = this->Relays[Wanted.Request];
  if (!Of.Head && Wanted.AttachTo)
    Of.Base = Of.Next = Wanted.NextIndex;
  const AttemptId Echoed = Wanted.AttachTo.value_or(Wanted.Attempt);
  this->Attempts[Wanted.Attempt] = {Wanted.Request, Wanted.Upstream, Echoed};
  if (!Of.Head && !Wanted.AttachTo)
    return this->endAttempt(Wanted.Attempt, AttemptNeverSent{});
  this->Deployment.dispatch(*this, Wanted, Of.Head.value_or(RequestHead{}));
}

void VirtualHost::answer(const AnswerRequest &Wanted) {
  const auto Again = this->Reconnecting.find(Wanted.Request);
  if (Again != this->Reconnecting.end()) {
    const std::size_t Caller = Again->second;
    this->Reconnecting.erase(Again);
    return this->Deployment.connectionLost(Caller);
  }
  const auto Found = this->Relays.find(Wanted.Request);
  if (Found == this->Relays.end())
    return this->Deployment.violation(this->name() +
                                      " answers an unknown request");
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
  const auto Joining = this->Reconnecting.find(Wanted.Request);
  const auto Found = this->Relays.find(Wanted.Stream);
  if (Joining == this->Reconnecting.end() || Found == this->Relays.end())
    return;
  const std::size_t Caller = Joining->second;
  this->Reconnecting.erase(Joining);
  Relay &Of = Found->second;
  if (!Of.Head)
    Of.Content = this->Deployment.Callers[Caller].Head.Content;
  if (Wanted.NextIndex < Of.Base)
    return this->Deployment.violation(
        "a stream is resumed before its first chunk");
  Of.Caller = Caller;
  if (Of.Next > Wanted.NextIndex)
    this->Deployment.chunksTo(Caller, *this, Of.Content, Wanted.NextIndex,
                              Of.Next);
}

void VirtualHost::endRelay(const RequestId &Request) {
  this->Relays.erase(Request);
  std::erase_if(this->Attempts, [&](const auto &Each) {
    return Each.second.Request == Request;
  });
}

void VirtualHost::finish() {
  this->Stopping = true;
  this->Deployment.Queue.after(LongestFinish, [this, Now = this->Life] {
    if (this->Life != Now || this->Frozen)
      return;
    this->Deployment.violation("the planned stop of " + this->name() +
                               " cut off a request");
    this->kill();
  });
  this->endWhenFinished();
}

void VirtualHost::endWhenFinished() {
  const bool Busy =
      std::any_of(this->Relays.begin(), this->Relays.end(),
                  [](const auto &Each) { return Each.second.Caller; });
  if (this->Stopping && !Busy && this->Reconnecting.empty())
    this->kill();
}

void VirtualHost::carryOut(const std::vector<Action> &Wanted) {
  const Incarnation Now = this->Life;
  for (const Action &Each : Wanted)
    if (this->Life == Now)
      this->carryOut(Each);
  if (this->Life == Now)
    this->endWhenFinished();
}

void VirtualHost::carryOut(const Action &Wanted) {
  VirtualDeployment &To = this->Deployment;
  match(
      Wanted,
      [&](const AcceptRequest &Each) {
        const auto Found = this->Relays.find(Each.Request);
        if (Found != this->Relays.end() && Found->second.Caller)
          To.accepted(*Found->second.Caller, *this, Each.ResumeToken);
      },
      [&](const AnswerRequest &Each) { this->answer(Each); },
      [&](const RedirectCaller &Each) { this->redirect(Each); },
      [&](const JoinStream &Each) { this->join(Each); },
      [&](const AnswerResolve &Each) { To.resolved(Each); },
      [&](const DispatchAttempt &Each) { this->dispatch(Each); },
      [&](const CancelAttempt &Each) {
        this->Attempts.erase(Each.Attempt);
        To.cancel(*this, Each);
      },
      [&](const PollLoad &Each) { To.pollLoad(*this, Each); },
      [&](const PollCacheEvents &Each) { To.pollCache(*this, Each); },
      [&](const TakeHold &Each) { To.takeHold(*this, Each); },
      [&](const ReleaseHold &Each) { To.releaseHold(*this, Each); },
      [&](const OrderUpstream &Each) { To.order(*this, Each); },
      [&](const ReadHostList &) { To.readHostList(*this); },
      [&](const ReadLog &Each) { To.readLog(*this, Each); },
      [&](const AppendToLog &Each) { To.append(*this, Each); },
      [&](const SendToPeer &Each) { To.sendPeer(*this, Each); },
      [&](const ConnectPeers &) {},
      [&](const AnswerOperator &Each) { To.operatorAnswered(Each); },
      [&](const WriteLogLine &Each) {
        if (To.OnLogLine)
          To.OnLogLine(this->name(), Each.Line);
      },
      [&](const RecordMeasurement &Each) { To.measured(Each); },
      [&](const StopNow &) { this->finish(); }, [](const GatewayAction &) {});
}

} // namespace banyanpick
