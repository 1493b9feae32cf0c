#include "auto/manyhosts/HostSimulation.h"

#include "base/Visitor.h"
#include "kernel/GatewayServices.h"
#include "wire/PeerCodec.h"

#include <fmt/format.h>
#include <numeric>

namespace banyanpick {

namespace {

constexpr Time Begin = Time(seconds(1000));
constexpr milliseconds NetworkDelay(1);
constexpr milliseconds StoreReadInterval(200);
constexpr milliseconds RenewInterval(1200);
constexpr std::size_t Seeds = 3;
constexpr milliseconds ResetDelay(5);
/// From the end of a host's stop to the exit of its process.
constexpr milliseconds ExitDelay(20);
constexpr milliseconds RefusalDelay(4);
constexpr std::uint32_t RefusedStatus = 503;
constexpr std::uint32_t BadGateway = 502;
constexpr std::uint32_t RegisteredSlots = 10;

/// Requests that an engine serves at once, as declared.
constexpr std::size_t EngineSlots = 16;
constexpr milliseconds Objective(300);
constexpr seconds CallerTimeout(2);

/// Tokens of a prompt that several engines prefill.
constexpr std::uint64_t LongPrompt = 150'000;
/// No request has this number.
const Fingerprint CrashingContent(~std::uint64_t(0));

Address addressOf(std::size_t Index) {
  return {fmt::format("10.0.{}.{}", Index / 200, Index % 200 + 1), 7000};
}

Settings simulationSettings(std::span<const SettingChange> Changes) {
  Settings Result = gatewaySettingsForTests(Changes);
  std::string SeedList;
  for (std::size_t Index = 0; Index < Seeds; ++Index)
    SeedList += (Index > 0 ? "," : "") + addressOf(Index).Ip + ":7000";
  Result.set("membership", "seeds", SeedList);
  Result.set("membership", "heartbeat_interval", "250ms");
  Result.set("membership", "rumours_per_heartbeat", "32");
  Result.set("membership", "host_list_interval", "15s");
  Result.set("membership", "suspect_after", "700ms");
  Result.set("membership", "dead_after", "2s");
  Result.set("engine_limits", "cold_overshoot", "1.5");
  Result.set("engine_limits", "cold_slack", "5");
  return Result;
}

std::string kindOf(const PeerMessageBody &Body) {
  return match(
      Body, [](const Heartbeat &) { return "heartbeat"; },
      [](const EngineWork &) { return "work"; },
      [](const EngineLimits &) { return "limits"; },
      [](const EngineSignals &) { return "signals"; },
      [](const EnginesRequest &) { return "engines asked"; },
      [](const EnginesRelayed &) { return "engines"; },
      [](const ConfigurationRequest &) { return "configuration asked"; },
      [](const ConfigurationRelayed &) { return "configuration"; },
      [](const auto &) { return "other"; });
}

} // namespace

HostSimulation::HostSimulation(std::size_t HostCount, std::size_t EngineCount,
                               std::vector<SettingChange> Changes,
                               std::span<const ProcessorShare> Processors)
    : Queue(Begin), SettingChanges(std::move(Changes)) {
  for (std::size_t Index = 0; Index < EngineCount; ++Index) {
    EngineRecord Engine;
    Engine.Id = UpstreamId(fmt::format("e{:03}", Index));
    Engine.Service = ServiceId("ring");
    Engine.At = {fmt::format("10.9.{}.{}", Index / 200, Index % 200 + 1), 8000};
    Engine.Zone = ZoneId(fmt::format("z{}", Index % Zones));
    Engine.Slots = RegisteredSlots;
    this->Engines.push_back(Engine);
    this->Registry.emplace_back();
    this->registerEngine(Index);
    this->Queue.after(RenewInterval * Index / EngineCount,
                      [this, Index] { this->renewRegistration(Index); });
  }
  this->Hosts.resize(HostCount);
  for (std::size_t Index = 0; Index < HostCount; ++Index) {
    Identity &Self = this->Hosts[Index].Self;
    Self.Host = HostId(fmt::format("h{:03}", Index));
    Self.Zone = ZoneId(fmt::format("z{}", Index % Zones));
    Self.Callers = addressOf(Index);
    Self.Peers = addressOf(Index);
    if (Index < Processors.size())
      Self.Processor = Processors[Index];
    this->IndexById[Self.Host] = Index;
    this->start(Index);
  }
  this->sampleLoads();
}

HostSimulation::~HostSimulation() = default;

std::size_t HostSimulation::indexOf(const UpstreamId &Engine) const {
  const auto Found =
      std::ranges::find(this->Engines, Engine, &EngineRecord::Id);
  return static_cast<std::size_t>(Found - this->Engines.begin());
}

void HostSimulation::run(Duration For) {
  this->Queue.runUntil(this->Queue.now() + For);
}

void HostSimulation::kill(std::size_t Host) {
  this->Hosts[Host].Process.reset();
}

void HostSimulation::restart(std::size_t Host) { this->start(Host); }

void HostSimulation::publish(std::uint64_t NewVersion) {
  this->Version = NewVersion;
}

void HostSimulation::evacuate(std::size_t Zone, bool Active) {
  this->Evacuations[Zone] = {ZoneId(fmt::format("z{}", Zone)), Active,
                             this->DeclarationsEnd++};
}

void HostSimulation::dropEvacuationHistory() {
  std::erase_if(this->Evacuations,
                [](const auto &Entry) { return !Entry.second.Active; });
  for (Host &Reader : this->Hosts)
    Reader.NextDeclaration = 0;
}

bool HostSimulation::isEvacuated(std::size_t Host, std::size_t Zone) const {
  const auto &View =
      this->Hosts[Host].Process->services().get<EvacuationView>();
  return View.isEvacuated(ZoneId(fmt::format("z{}", Zone)));
}

void HostSimulation::readEvacuations(std::size_t Index) {
  Host &Reader = this->Hosts[Index];
  EvacuationsRead Read;
  Read.Complete = Reader.NextDeclaration == 0;
  Read.UpTo = this->DeclarationsEnd;
  for (const auto &[Zone, Record] : this->Evacuations)
    if (Record.Offset >= Reader.NextDeclaration)
      Read.Records.push_back(Record);
  Reader.NextDeclaration = this->DeclarationsEnd;
  if (Read.Complete || !Read.Records.empty())
    this->send(Index, Reader.Life, GatewayEvent(std::move(Read)));
}

void HostSimulation::drain(std::size_t Engine) {
  this->Engines[Engine].Draining = true;
  this->registerEngine(Engine);
}

void HostSimulation::setFailing(std::size_t Engine, bool On) {
  const UpstreamId &Id = this->Engines[Engine].Id;
  if (On)
    this->Failing.insert(Id);
  else
    this->Failing.erase(Id);
}

void HostSimulation::setLinkFailed(std::size_t Host, bool On) {
  if (On)
    this->FailedLinks.insert(Host);
  else
    this->FailedLinks.erase(Host);
}

void HostSimulation::setLimit(std::size_t Engine,
                              std::optional<double> PerSecond) {
  const UpstreamId &Id = this->Engines[Engine].Id;
  if (PerSecond)
    this->Limits[Id] = *PerSecond;
  else
    this->Limits.erase(Id);
}

void HostSimulation::setShedding(std::size_t Engine,
                                 std::optional<Duration> Backoff) {
  const UpstreamId &Id = this->Engines[Engine].Id;
  if (Backoff)
    this->Shedding[Id] = *Backoff;
  else
    this->Shedding.erase(Id);
}

void HostSimulation::refuseRun(const UpstreamId &Engine,
                               const RunningRequest &Running,
                               Duration Backoff) {
  this->Queue.after(RefusalDelay, [this, Engine, Running, Backoff] {
    AnswerSignals Signals = this->signalsOf(Engine);
    Signals.Backoff = BackoffRequested{Backoff};
    this->answer(Engine, Running, Signals);
    RelayNotRun Refusal;
    Refusal.Status = RefusedStatus;
    this->send(Running.Host, Running.Life,
               GatewayEvent(RelayEnded{Running.Attempt, Refusal}));
  });
}

void HostSimulation::answer(const UpstreamId &Engine,
                            const RunningRequest &Running,
                            const AnswerSignals &Signals) {
  Arrival &Answered = this->Arrived[Engine][Running.Arrived];
  Answered.AnsweredAt = this->Queue.now();
  Answered.SignalledLeaving = Signals.Leaving != LeavingSignal::Absent;
  this->send(
      Running.Host, Running.Life,
      GatewayEvent(EngineSignalsReceived{Engine, Running.SentAt, Signals}));
}

AnswerSignals HostSimulation::signalsOf(const UpstreamId &Engine) const {
  AnswerSignals Result;
  Result.Limit = LimitNone{};
  const auto Limit = this->Limits.find(Engine);
  if (Limit != this->Limits.end())
    Result.Limit = LimitDeclared{Limit->second};
  if (this->SignalsLeaving.contains(Engine))
    Result.Leaving = LeavingSignal::Present;
  return Result;
}

void HostSimulation::pause(std::size_t Host, Duration For) {
  this->Hosts[Host].PausedUntil = this->Queue.now() + For;
}

void HostSimulation::setPartitioned(std::size_t Host, bool On) {
  if (On)
    this->Partitioned.insert(Host);
  else
    this->Partitioned.erase(Host);
}

const std::vector<HostSimulation::Arrival> &
HostSimulation::arrivals(std::size_t Engine) const {
  static const std::vector<Arrival> None;
  const auto Found = this->Arrived.find(this->Engines[Engine].Id);
  return Found == this->Arrived.end() ? None : Found->second;
}

void HostSimulation::registerEngine(std::size_t Engine) {
  EngineRecord Record = this->Engines[Engine];
  Record.ColdFor =
      std::max(Duration(0), this->coldUntil(Engine) - this->Queue.now());
  this->Registry[Engine] = {Record, this->Unregistered.contains(Engine),
                            this->RegistryEnd++};
}

void HostSimulation::renewRegistration(std::size_t Engine) {
  if (!this->Down.contains(Engine))
    this->registerEngine(Engine);
  this->Queue.after(RenewInterval,
                    [this, Engine] { this->renewRegistration(Engine); });
}

void HostSimulation::sendRequest(std::size_t Host, Duration RunsFor) {
  const Caller Origin{this->Queue.now(), false, false, RunsFor};
  if (this->AllKilled)
    this->Stranded.push_back(Origin);
  else
    this->submit(Host, Origin);
}

void HostSimulation::submit(std::size_t Host, const Caller &Origin) {
  const RequestId Id(++this->Requests);
  this->Callers[{Host, Id}] = Origin;
  this->Callers[{Host, Id}].RequestedAt = this->Queue.now();
  this->RequestTimes.push_back(this->Queue.now());
  this->Current.FirstTries[Host] += Origin.HasRetried ? 0 : 1;
  this->Current.SharingTries += Origin.isHarmlessFirstTry() ? 1 : 0;
  const Duration Patience =
      Origin.IsLong ? Duration(CallerTimeLimit) : CallerTimeout;
  this->Queue.after(Patience, [this, Host, Id] {
    const auto Found = this->Callers.find({Host, Id});
    if (Found == this->Callers.end() || Found->second.IsAnswered)
      return;
    ++this->Current.Lost[Host];
    this->Callers.erase(Found);
    this->send(Host, this->Hosts[Host].Life, CallerDisconnected{Id});
  });
  this->send(Host, this->Hosts[Host].Life,
             GatewayEvent(RelayArrived{this->headOf(Id, Origin)}));
}

RelayHead HostSimulation::headOf(const RequestId &Id,
                                 const Caller &Origin) const {
  RelayHead Head;
  Head.Id = Id;
  Head.Host = "a.example";
  Head.Path = Origin.IsLong ? "/review/" : "/stream/";
  if (Origin.IsUnknownRoute)
    Head.Path = "/nowhere/";
  Head.Key = "key";
  Head.Remaining =
      CallerTimeLimit - (this->Queue.now() - Origin.FirstRequestAt);
  Head.PromptTokens = Origin.IsLong ? LongPrompt : ShortPrompt;
  const bool IsSameContent =
      Origin.CrashesEngines && Origin.PromptParts.empty();
  Head.Content = IsSameContent ? CrashingContent : Fingerprint(Id.Value);
  Head.PromptParts = Origin.PromptParts;
  return Head;
}

void HostSimulation::sendUnknownRoute(std::size_t Host) {
  Caller Origin{this->Queue.now()};
  Origin.IsUnknownRoute = true;
  this->submit(Host, Origin);
}

void HostSimulation::recordDecision(std::size_t Host, const RequestId &Id) {
  const auto Found = this->Callers.find({Host, Id});
  if (Found != this->Callers.end())
    this->Decisions.push_back(
        {Found->second.RequestedAt, this->versionAt(Host)});
}

void HostSimulation::handleRefusal(std::size_t Host,
                                   const RefuseRelay &Refusal) {
  if (Refusal.Kind == RefusalKind::NoSuchRoute ||
      Refusal.Kind == RefusalKind::UnknownKey)
    this->recordDecision(Host, Refusal.Request);
  RelayOutcome AtForwarder = RelayFailed{BadGateway};
  if (Refusal.Kind == RefusalKind::NotRun)
    AtForwarder = RelayNotRun{};
  if (this->endForward(Host, Refusal.Request, AtForwarder))
    return;
  const auto Found = this->Callers.find({Host, Refusal.Request});
  if (Found == this->Callers.end())
    return;
  Caller Origin = Found->second;
  this->Callers.erase(Found);
  if (Origin.CrashesEngines)
    return;
  if (Origin.HasRetried || Refusal.Kind != RefusalKind::NotRun) {
    ++this->Current.Lost[Host];
    return;
  }
  ++this->Current.RetryLaterAnswers;
  Origin.HasRetried = true;
  this->Queue.after(Refusal.RetryAfter,
                    [this, Next = this->hostForRetry(Host), Origin] {
                      this->submit(Next, Origin);
                    });
}

void HostSimulation::serve(const UpstreamId &Engine,
                           const RunningRequest &Running) {
  if (this->BusySlots[Engine] >= EngineSlots) {
    this->Queued[Engine].push_back(Running);
    return;
  }
  const auto Found = this->Callers.find({Running.Host, Running.Request});
  if (Found == this->Callers.end())
    return; // The caller has disconnected meanwhile.
  ++this->BusySlots[Engine];
  this->RunningByEngine[Engine].push_back(Running);
  const Duration FirstEvent = this->firstEventAfter(Engine);
  if (Found->second.CrashesEngines) {
    // Engines crash soon after the begin of the answer.
    if (!Found->second.PromptParts.empty())
      this->send(Running.Host, Running.Life,
                 GatewayEvent(RelayBegan{Running.Attempt}));
    this->crashLater(Engine, Running);
    return;
  }
  this->Queue.after(FirstEvent, [this, Engine, Running] {
    const auto Origin = this->Callers.find({Running.Host, Running.Request});
    if (Origin == this->Callers.end() || !this->runsOn(Engine, Running))
      return;
    Origin->second.IsAnswered = true;
    this->noteServed(Running.Host, Origin->second);
    const Duration Took = this->Queue.now() - Origin->second.FirstRequestAt;
    this->Current.Answers.push_back({Origin->second.FirstRequestAt, Took});
    const bool InTime = Took <= Objective;
    ++(InTime ? this->Current.InTime : this->Current.Late);
    this->answer(Engine, Running, this->signalsOf(Engine));
    this->send(Running.Host, Running.Life,
               GatewayEvent(RelayBegan{Running.Attempt}));
  });
  this->Queue.after(std::max(Found->second.RunsFor, FirstEvent),
                    [this, Engine, Running] { this->finish(Engine, Running); });
}

void HostSimulation::finish(const UpstreamId &Engine,
                            const RunningRequest &Running) {
  if (Running.EngineRun != this->EngineRun || !this->runsOn(Engine, Running))
    return;
  std::erase_if(this->RunningByEngine[Engine],
                [&](const RunningRequest &Other) {
                  return Other.Attempt == Running.Attempt;
                });
  this->Connections.keep(Running.Host, Engine, this->Queue.now());
  RelayDelivered Whole;
  Whole.End = RelayDelivered::Ending::Explicit;
  this->send(Running.Host, Running.Life,
             GatewayEvent(RelayEnded{Running.Attempt, Whole}));
  if (!this->endForward(Running.Host, Running.Request, RelayDelivered{}))
    this->Callers.erase({Running.Host, Running.Request});
  --this->BusySlots[Engine];
  std::deque<RunningRequest> &Pending = this->Queued[Engine];
  while (!Pending.empty() && this->BusySlots[Engine] < EngineSlots) {
    const RunningRequest Next = Pending.front();
    Pending.pop_front();
    this->serve(Engine, Next);
  }
}

std::vector<std::size_t>
HostSimulation::resolvedHosts(std::size_t Host, const std::string &Zone) {
  // A paused host sends no answers and must not run meanwhile.
  if (this->Queue.now() < this->Hosts[Host].PausedUntil)
    return {};
  this->Answer.clear();
  ResolveRequest Query;
  Query.Id = ResolveRequestId(++this->Requests);
  Query.Zone = ZoneId(Zone);
  this->handle(Host, std::move(Query));
  std::vector<std::size_t> Result;
  for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index)
    if (std::ranges::count(this->Answer, this->Hosts[Index].Self.Callers) > 0)
      Result.push_back(Index);
  return Result;
}

std::uint64_t HostSimulation::versionAt(std::size_t Host) const {
  return this->Hosts[Host].Process->services().get<InForceView>().version();
}

std::size_t HostSimulation::knownPeers(std::size_t Host) const {
  const auto &Members =
      this->Hosts[Host].Process->services().get<MembershipView>();
  return static_cast<std::size_t>(
      std::ranges::count(Members.peers(), MemberState::Alive, &Member::State));
}

bool HostSimulation::knowsLeaving(std::size_t Host, std::size_t Engine) const {
  const auto &Directory =
      this->Hosts[Host].Process->services().get<EngineDirectory>();
  const RegisteredEngine *Known = Directory.find(this->Engines[Engine].Id);
  return !Known || Known->Standing == EngineStanding::Leaving;
}

std::uint64_t HostSimulation::Tally::messages() const {
  return std::accumulate(
      this->Messages.begin(), this->Messages.end(), std::uint64_t(0),
      [](std::uint64_t Sum, const auto &Entry) { return Sum + Entry.second; });
}

HostSimulation::Tally HostSimulation::takeTally() {
  this->Current.Links = this->Pairs.size();
  for (const auto &[From, To] : this->Pairs)
    this->Current.Senders[To].insert(From);
  this->Pairs.clear();
  return std::exchange(this->Current, Tally{});
}

void HostSimulation::start(std::size_t Index) {
  Host &Started = this->Hosts[Index];
  this->Stopping.erase(Index);
  Started.Life = ++this->IncarnationCount;
  Started.Self.Life = Incarnation(1000 + Started.Life);
  Settings Values = simulationSettings(this->SettingChanges);
  for (const auto &[Key, Value] : this->EngineLoadValues)
    Values.set("engine_load", Key, Value);
  Started.Process = std::make_unique<Kernel>(Started.Self, Values, Started.Life,
                                             ServingMode::Gateway);
  Started.WakeAt = Never;
  Started.ReadsStore = false;
  Started.Listed = false;
  Started.Next = 0;
  Started.SeenVersion = 0;
  Started.NextDeclaration = 0;
  this->send(Index, Started.Life, Tick{});
}

void HostSimulation::send(std::size_t Index, std::uint64_t Life,
                          const Event &Incoming, std::size_t Bytes) {
  Host &Receiver = this->Hosts[Index];
  if (!Receiver.Process || Receiver.Life != Life)
    return;
  if (this->Queue.now() < Receiver.PausedUntil) {
    this->Queue.at(Receiver.PausedUntil, [this, Index, Life, Incoming, Bytes] {
      this->send(Index, Life, Incoming, Bytes);
    });
    return;
  }
  if (Receiver.Available.Cores == 0) {
    this->handle(Index, Incoming);
    return;
  }
  this->addBufferedBytes(Index, Bytes);
  Receiver.Inbox.push_back({Life, Incoming, Bytes});
  this->processInbox(Index);
}

void HostSimulation::handle(std::size_t Index, const Event &Incoming) {
  for (const Action &Requested :
       this->Hosts[Index].Process->handle(Incoming, this->Queue.now()))
    this->perform(Index, Requested);
  this->scheduleWake(Index);
}

std::size_t HostSimulation::falseSuspicions() const {
  std::size_t Result = 0;
  for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index) {
    if (!this->isRunning(Index) || this->Partitioned.contains(Index))
      continue;
    const auto &Members =
        this->Hosts[Index].Process->services().get<MembershipView>();
    for (const Member &Peer : Members.peers()) {
      const std::size_t PeerIndex = this->IndexById.at(Peer.Listing.Id);
      const bool Reachable =
          this->isRunning(PeerIndex) && !this->Partitioned.contains(PeerIndex);
      Result += Reachable && Peer.State != MemberState::Alive ? 1 : 0;
    }
  }
  return Result;
}

void HostSimulation::scheduleWake(std::size_t Index) {
  Host &Scheduled = this->Hosts[Index];
  const Time WakeTime = Scheduled.Process->nextWake();
  if (WakeTime == Never || WakeTime >= Scheduled.WakeAt)
    return;
  Scheduled.WakeAt = std::max(WakeTime, this->Queue.now() + milliseconds(1));
  this->Queue.at(Scheduled.WakeAt,
                 [this, Index, Life = Scheduled.Life, When = Scheduled.WakeAt] {
                   Host &Woken = this->Hosts[Index];
                   if (Woken.Life != Life || Woken.WakeAt != When)
                     return;
                   Woken.WakeAt = Never;
                   ++this->Current.Ticks;
                   this->send(Index, Life, Tick{});
                 });
}

void HostSimulation::perform(std::size_t Index, const Action &Requested) {
  match(
      Requested, [&](const SendToPeer &Sent) { this->deliver(Index, Sent); },
      [&](const GatewayAction &Nested) { this->perform(Index, Nested); },
      [&](const AnswerResolve &Result) { this->Answer = Result.Hosts; },
      [&](const StopNow &) {
        this->Queue.after(ExitDelay,
                          [this, Index, Life = this->Hosts[Index].Life] {
                            this->exit(Index, Life);
                          });
      },
      [&](const ReadHostList &) {
        ++this->Current.ListReads;
        HostListRead Read;
        for (const Host &Listed : this->Hosts)
          if (Listed.IsListed)
            Read.Hosts.push_back({Listed.Self.Host, Listed.Self.Zone,
                                  Listed.Self.Callers, Listed.Self.Peers, false,
                                  Listed.Self.Processor});
        this->Queue.after(StoreDelay, [this, Index, Read = std::move(Read),
                                       Life = this->Hosts[Index].Life] {
          this->send(Index, Life, Read);
        });
      },
      [](const auto &) {});
}

void HostSimulation::dispatch(std::size_t Index,
                              const DispatchRelay &Dispatch) {
  const std::uint64_t Life = this->Hosts[Index].Life;
  this->recordDecision(Index, Dispatch.Request);
  if (Dispatch.IsForward) {
    this->forward(Index, Dispatch);
    return;
  }
  ++this->Current.Sent[Dispatch.Engine];
  this->Connections.send(Index, Dispatch.Engine, Dispatch.Fresh,
                         this->Queue.now());
  this->UnreportedSince.try_emplace(Index, this->Queue.now());
  if (const auto Lost = this->lostAttempt(Index, Dispatch)) {
    this->Queue.after(
        Lost->After, [this, Index, Life, Id = Dispatch.Attempt, Lost] {
          this->send(Index, Life, GatewayEvent(RelayEnded{Id, Lost->Outcome}));
        });
    return;
  }
  if (const auto Lost = this->outcomeWithoutEngine(Dispatch)) {
    this->Queue.after(
        ResetDelay, [this, Index, Life, Id = Dispatch.Attempt, Lost] {
          this->send(Index, Life, GatewayEvent(RelayEnded{Id, *Lost}));
        });
    return;
  }
  if (!this->Reached.insert(Dispatch.Request).second)
    this->RepeatTimes.push_back(this->Queue.now());
  const auto Caller = this->Callers.find({Index, Dispatch.Request});
  if (Caller != this->Callers.end() && Caller->second.CrashesEngines)
    this->CrashingArrivals.push_back(this->Queue.now());
  const EngineRecord &Target = this->Engines[this->indexOf(Dispatch.Engine)];
  this->Current.SentToOtherZones +=
      Target.Zone == this->Hosts[Index].Self.Zone ? 0 : 1;
  const auto Sheds = this->Shedding.find(Dispatch.Engine);
  const bool Refuses = Sheds != this->Shedding.end();
  const Duration Backoff = Refuses ? Sheds->second : Duration(0);
  std::vector<Arrival> &Arrivals = this->Arrived[Dispatch.Engine];
  Arrivals.push_back({this->Queue.now(), Index, Backoff});
  Arrivals.back().AtColdEngine = this->isCold(Dispatch.Engine);
  if (this->Failing.contains(Dispatch.Engine) ||
      this->FailedLinks.contains(Index)) {
    this->Queue.after(ResetDelay, [this, Index, Life, Id = Dispatch.Attempt] {
      this->send(Index, Life, GatewayEvent(RelayEnded{Id, RelayBroken{}}));
    });
    return;
  }
  const RunningRequest Running{Index,
                               Life,
                               Dispatch.Attempt,
                               Dispatch.Request,
                               this->Queue.now(),
                               this->EngineRun,
                               Arrivals.size() - 1};
  if (Refuses)
    this->refuseRun(Dispatch.Engine, Running, Backoff);
  else
    this->serve(Dispatch.Engine, Running);
}

void HostSimulation::perform(std::size_t Index,
                             const GatewayAction &Requested) {
  const std::uint64_t Life = this->Hosts[Index].Life;
  match(
      Requested,
      [&](const DispatchRelay &Dispatch) { this->dispatch(Index, Dispatch); },
      [&](const AskReport &Asked) {
        if (!this->failReport(Index, Asked.Engine))
          this->reportLoad(Index, Asked.Engine);
      },
      [&](const CancelRelay &Order) {
        this->Cancelled.insert(Order.Attempt);
        this->cancelForward(Order.Attempt);
      },
      [&](const StoreQuarantine &Wanted) { this->storeQuarantine(Wanted); },
      [&](const RefuseRelay &Refusal) { this->handleRefusal(Index, Refusal); },
      [&](const BreakRelay &Broken) {
        if (this->endForward(Index, Broken.Request, RelayBroken{}))
          return;
        ++this->Current.Lost[Index];
        ++this->Current.CutOff;
      },
      [&](const DeliverFailure &Failed) {
        if (!this->endForward(Index, Failed.Request, RelayFailed{BadGateway}))
          ++this->Current.Lost[Index];
      },
      [&](const AnnounceHost &Record) {
        ++this->Current.Announcements;
        this->Hosts[Index].IsListed = Record.Present;
      },
      [&](const FollowStore &Follow) {
        const bool Before =
            std::exchange(this->Hosts[Index].ReadsStore, Follow.Enabled);
        this->Hosts[Index].Turns = Follow.Turns;
        if (!Follow.Enabled || Before)
          return;
        this->readStore(Index, Life);
        this->readQuarantines(Index);
      },
      [&](const DecodeConfiguration &Decode) {
        const std::uint64_t NewVersion =
            std::stoull(Decode.Document.substr(Decode.Document.rfind(' ') + 1));
        this->Queue.after(this->decodeTime(Index, Decode.Document.size()),
                          [this, Index, Life, NewVersion] {
                            this->send(Index, Life,
                                       GatewayEvent(ConfigurationRead{
                                           this->configurationAt(NewVersion),
                                           ConfigurationSource::Peer}));
                          });
      },
      [](const auto &) {});
}

void HostSimulation::deliver(std::size_t From, const SendToPeer &Sent) {
  ++this->Current.Messages[kindOf(Sent.Body)];
  const auto Found = this->IndexById.find(Sent.To);
  std::size_t To = 0;
  if (Found != this->IndexById.end()) {
    To = Found->second;
  } else {
    // A seed is addressed by its address, because its name is not known yet.
    while (To < Seeds &&
           Sent.To.Value.find(addressOf(To).Ip + ":") == std::string::npos)
      ++To;
    if (To == Seeds)
      return;
  }
  this->Pairs.insert({From, To});
  if (const auto Since = this->UnreportedSince.find(From);
      std::holds_alternative<EngineWork>(Sent.Body) &&
      Since != this->UnreportedSince.end()) {
    this->Current.MaxReportDelay =
        std::max(this->Current.MaxReportDelay,
                 Duration(this->Queue.now() + NetworkDelay - Since->second));
    this->UnreportedSince.erase(Since);
  }
  if (this->Partitioned.contains(From) || this->Partitioned.contains(To))
    return;
  const Host &Sender = this->Hosts[From];
  PeerMessage Message{Sender.Self.Host, Sender.Self.Life, Sent.Body};
  const bool IsMeasured =
      this->CountsBytes || Sender.Available.BytesPerSecond != 0;
  const std::size_t Bytes = IsMeasured ? encodePeerMessage(Message).size() : 0;
  this->countBytes(From, To, Sent.Body, Bytes);
  this->chargeSending(From, Bytes);
  this->Queue.after(
      NetworkDelay + this->transfer(From, To, Bytes),
      [this, To, Bytes, Message = std::move(Message)] {
        this->send(To, this->Hosts[To].Life,
                   PeerMessageReceived{Message, this->Queue.now()}, Bytes);
      });
}

void HostSimulation::countBytes(std::size_t From, std::size_t To,
                                const PeerMessageBody &Body,
                                std::size_t Bytes) {
  if (!this->CountsBytes)
    return;
  this->Current.Bytes[kindOf(Body)] += Bytes;
  this->Current.BytesByHost[From] += Bytes;
  this->Current.BytesByHost[To] += Bytes;
  if (this->Hosts[From].Self.Zone != this->Hosts[To].Self.Zone)
    this->Current.BytesToOtherZones += Bytes;
}

void HostSimulation::readStore(std::size_t Index, std::uint64_t Life) {
  this->Queue.after(StoreDelay, [this, Index, Life] {
    Host &Reader = this->Hosts[Index];
    if (!Reader.Process || Reader.Life != Life || !Reader.ReadsStore)
      return;
    ++this->Current.StoreReads;
    this->Current.Readers.insert(Index);
    if (this->RefusedReaders.contains(Index)) {
      this->send(Index, Life,
                 GatewayEvent(StoreObserved{StoreObserved::Part::Engines, false,
                                            "refused"}));
      this->Queue.after(StoreReadInterval,
                        [this, Index, Life] { this->readStore(Index, Life); });
      return;
    }
    EnginesRead Read;
    for (const EngineChange &Change : this->Registry)
      if (!Reader.Listed || Change.Offset >= Reader.Next)
        Read.Changes.push_back(Change);
    Read.Complete = !Reader.Listed;
    Read.UpTo = this->RegistryEnd;
    Reader.Listed = true;
    Reader.Next = this->RegistryEnd;
    const std::uint64_t Newest = this->Version;
    if (std::exchange(Reader.SeenVersion, Newest) != Newest)
      this->send(Index, Life,
                 GatewayEvent(ConfigurationRead{this->configurationAt(Newest),
                                                ConfigurationSource::Store,
                                                this->Queue.now()}));
    this->readEvacuations(Index);
    this->send(Index, Life, GatewayEvent(DeclarationsRead{}));
    this->send(
        Index, Life,
        GatewayEvent(StoreObserved{StoreObserved::Part::Engines, true, ""}));
    this->send(Index, Life, GatewayEvent(std::move(Read)));
    this->Queue.after(StoreReadInterval * Reader.Turns,
                      [this, Index, Life] { this->readStore(Index, Life); });
  });
}

} // namespace banyanpick
