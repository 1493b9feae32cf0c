#include "auto/manyhosts/HostSimulation.h"

#include "base/Visitor.h"
#include "fakes/GatewayDeclarations.h"
#include "kernel/GatewayServices.h"
#include "wire/PeerCodec.h"

#include <fmt/format.h>
#include <numeric>

namespace banyanpick {

namespace {

constexpr Time Begin = Time(seconds(1000));
constexpr milliseconds NetworkDelay(1);
constexpr milliseconds StoreDelay(4);
constexpr milliseconds StoreReadInterval(200);
constexpr milliseconds RenewInterval(1200);
constexpr std::size_t Seeds = 3;
constexpr milliseconds ResetDelay(5);
constexpr milliseconds RefusalDelay(4);
constexpr std::uint32_t RefusedStatus = 503;
constexpr std::uint32_t RegisteredSlots = 10;

/// As declared: requests that an engine serves at once.
constexpr std::size_t EngineSlots = 16;
constexpr milliseconds FirstEventDelay(120);
constexpr milliseconds Objective(300);
constexpr seconds CallerTimeout(2);

Address addressOf(std::size_t Index) {
  return {fmt::format("10.0.{}.{}", Index / 200, Index % 200 + 1), 7000};
}

Settings simulationSettings() {
  Settings Result = gatewaySettingsForTests();
  std::string Named;
  for (std::size_t Index = 0; Index < Seeds; ++Index)
    Named += (Index > 0 ? "," : "") + addressOf(Index).Ip + ":7000";
  Result.set("membership", "seeds", Named);
  Result.set("membership", "heartbeat_interval", "250ms");
  Result.set("membership", "rumours_per_heartbeat", "32");
  Result.set("membership", "host_list_interval", "15s");
  Result.set("membership", "suspect_after", "700ms");
  Result.set("membership", "dead_after", "2s");
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

HostSimulation::HostSimulation(std::size_t HostCount, std::size_t EngineCount)
    : Queue(Begin) {
  for (std::size_t At = 0; At < EngineCount; ++At) {
    EngineRecord Each;
    Each.Id = UpstreamId(fmt::format("e{:03}", At));
    Each.Service = ServiceId("ring");
    Each.At = {fmt::format("10.9.{}.{}", At / 200, At % 200 + 1), 8000};
    Each.Zone = ZoneId(fmt::format("z{}", At % Zones));
    Each.Slots = RegisteredSlots;
    this->Engines.push_back(Each);
    this->Registry.emplace_back();
    this->registerEngine(At);
    this->Queue.after(RenewInterval * At / EngineCount,
                      [this, At] { this->renewRegistration(At); });
  }
  this->Hosts.resize(HostCount);
  for (std::size_t Index = 0; Index < HostCount; ++Index) {
    Identity &Self = this->Hosts[Index].Self;
    Self.Host = HostId(fmt::format("h{:03}", Index));
    Self.Zone = ZoneId(fmt::format("z{}", Index % Zones));
    Self.Callers = addressOf(Index);
    Self.Peers = addressOf(Index);
    this->IndexById[Self.Host] = Index;
    this->start(Index);
  }
}

HostSimulation::~HostSimulation() = default;

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
                               const RunningRequest &Each, Duration Backoff) {
  this->Queue.after(RefusalDelay, [this, Engine, Each, Backoff] {
    AnswerSignals Signals = this->signalsOf(Engine);
    Signals.Backoff = BackoffRequested{Backoff};
    this->answer(Engine, Each, Signals);
    RelayNotRun How;
    How.Status = RefusedStatus;
    this->send(Each.Host, Each.Life,
               GatewayEvent(RelayEnded{Each.Attempt, How}));
  });
}

void HostSimulation::answer(const UpstreamId &Engine,
                            const RunningRequest &Each,
                            const AnswerSignals &Signals) {
  Arrival &Of = this->Arrived[Engine][Each.Arrived];
  Of.AnsweredAt = this->Queue.now();
  Of.SignalledLeaving = Signals.Leaving != LeavingSignal::Absent;
  this->send(Each.Host, Each.Life,
             GatewayEvent(EngineSignalsReceived{Engine, Each.SentAt, Signals}));
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
  this->Registry[Engine] = {this->Engines[Engine], false, this->RegistryEnd++};
}

void HostSimulation::renewRegistration(std::size_t Engine) {
  this->registerEngine(Engine);
  this->Queue.after(RenewInterval,
                    [this, Engine] { this->renewRegistration(Engine); });
}

void HostSimulation::sendRequest(std::size_t Host, Duration RunsFor) {
  this->submit(Host, {this->Queue.now(), false, false, RunsFor});
}

void HostSimulation::submit(std::size_t Host, const Caller &By) {
  const RequestId Id(++this->Requests);
  this->Callers[{Host, Id}] = By;
  RelayHead Head;
  Head.Id = Id;
  Head.Host = "a.example";
  Head.Path = "/stream/";
  Head.Key = "key";
  Head.Remaining = CallerTimeLimit - (this->Queue.now() - By.FirstRequestAt);
  Head.PromptTokens = ShortPrompt;
  Head.Content = Fingerprint(Id.Value);
  this->Queue.after(CallerTimeout, [this, Host, Id] {
    const auto Found = this->Callers.find({Host, Id});
    if (Found == this->Callers.end() || Found->second.IsAnswered)
      return;
    ++this->Current.Lost[Host];
    this->Callers.erase(Found);
    this->send(Host, this->Hosts[Host].Life, CallerDisconnected{Id});
  });
  this->send(Host, this->Hosts[Host].Life,
             GatewayEvent(RelayArrived{std::move(Head)}));
}

void HostSimulation::handleRefusal(std::size_t Host, const RefuseRelay &Is) {
  const auto Found = this->Callers.find({Host, Is.Request});
  if (Found == this->Callers.end())
    return;
  Caller By = Found->second;
  this->Callers.erase(Found);
  if (By.HasRetried || Is.Kind != RefusalKind::NotRun) {
    ++this->Current.Lost[Host];
    return;
  }
  ++this->Current.RetryLaterAnswers;
  By.HasRetried = true;
  this->Queue.after(Is.RetryAfter,
                    [this, Host, By] { this->submit(Host, By); });
}

void HostSimulation::serve(const UpstreamId &Engine,
                           const RunningRequest &Each) {
  if (this->BusySlots[Engine] >= EngineSlots) {
    this->Queued[Engine].push_back(Each);
    return;
  }
  const auto Found = this->Callers.find({Each.Host, Each.Request});
  if (Found == this->Callers.end())
    return; // The caller left meanwhile.
  ++this->BusySlots[Engine];
  this->Queue.after(FirstEventDelay, [this, Engine, Each] {
    const auto By = this->Callers.find({Each.Host, Each.Request});
    if (By == this->Callers.end())
      return;
    By->second.IsAnswered = true;
    const bool InTime =
        this->Queue.now() <= By->second.FirstRequestAt + Objective;
    ++(InTime ? this->Current.InTime : this->Current.Late);
    this->answer(Engine, Each, this->signalsOf(Engine));
    this->send(Each.Host, Each.Life, GatewayEvent(RelayBegan{Each.Attempt}));
  });
  this->Queue.after(Found->second.RunsFor,
                    [this, Engine, Each] { this->finish(Engine, Each); });
}

void HostSimulation::finish(const UpstreamId &Engine,
                            const RunningRequest &Each) {
  this->send(Each.Host, Each.Life,
             GatewayEvent(RelayEnded{Each.Attempt, RelayDelivered{}}));
  this->Callers.erase({Each.Host, Each.Request});
  --this->BusySlots[Engine];
  std::deque<RunningRequest> &Pending = this->Queued[Engine];
  while (!Pending.empty() && this->BusySlots[Engine] < EngineSlots) {
    const RunningRequest Next = Pending.front();
    Pending.pop_front();
    this->serve(Engine, Next);
  }
}

std::vector<std::size_t> HostSimulation::resolvedHosts(std::size_t By) {
  // A host that stands still answers nothing, and must not run meanwhile.
  if (this->Queue.now() < this->Hosts[By].PausedUntil)
    return {};
  this->Answer.clear();
  ResolveRequest Asked;
  Asked.Id = ResolveRequestId(++this->Requests);
  this->handle(By, std::move(Asked));
  std::vector<std::size_t> Result;
  for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index)
    if (std::ranges::count(this->Answer, this->Hosts[Index].Self.Callers) > 0)
      Result.push_back(Index);
  return Result;
}

std::uint64_t HostSimulation::versionAt(std::size_t Host) const {
  return this->Hosts[Host].Process->services().get<InForceView>().version();
}

bool HostSimulation::knowsLeaving(std::size_t Host, std::size_t Engine) const {
  const auto &Known =
      this->Hosts[Host].Process->services().get<EngineDirectory>();
  const RegisteredEngine *Of = Known.find(this->Engines[Engine].Id);
  return !Of || Of->Standing == EngineStanding::Leaving;
}

std::uint64_t HostSimulation::Tally::messages() const {
  return std::accumulate(
      this->Messages.begin(), this->Messages.end(), std::uint64_t(0),
      [](std::uint64_t Sum, const auto &Each) { return Sum + Each.second; });
}

HostSimulation::Tally HostSimulation::takeTally() {
  this->Current.Links = this->Pairs.size();
  this->Pairs.clear();
  return std::exchange(this->Current, Tally{});
}

void HostSimulation::start(std::size_t Index) {
  Host &Each = this->Hosts[Index];
  Each.Life = ++this->IncarnationCount;
  Each.Self.Life = Incarnation(1000 + Each.Life);
  Each.Process = std::make_unique<Kernel>(Each.Self, simulationSettings(),
                                          Each.Life, ServingMode::Gateway);
  Each.WakeAt = Never;
  Each.ReadsStore = true;
  Each.Listed = false;
  Each.Next = 0;
  Each.SeenVersion = 0;
  this->send(Index, Each.Life, Tick{});
  this->readStore(Index, Each.Life);
}

void HostSimulation::send(std::size_t Index, std::uint64_t Life,
                          const Event &Incoming, std::size_t Bytes) {
  Host &Each = this->Hosts[Index];
  if (!Each.Process || Each.Life != Life)
    return;
  if (this->Queue.now() < Each.PausedUntil) {
    this->Queue.at(Each.PausedUntil, [this, Index, Life, Incoming, Bytes] {
      this->send(Index, Life, Incoming, Bytes);
    });
    return;
  }
  if (Each.Available.Cores == 0) {
    this->handle(Index, Incoming);
    return;
  }
  this->addBufferedBytes(Index, Bytes);
  Each.Inbox.push_back({Life, Incoming, Bytes});
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
    for (const Member &Each : Members.peers()) {
      const std::size_t Of = this->IndexById.at(Each.Listing.Id);
      const bool Reached =
          this->isRunning(Of) && !this->Partitioned.contains(Of);
      Result += Reached && Each.State != MemberState::Alive ? 1 : 0;
    }
  }
  return Result;
}

void HostSimulation::scheduleWake(std::size_t Index) {
  Host &Each = this->Hosts[Index];
  const Time WakeTime = Each.Process->nextWake();
  if (WakeTime == Never || WakeTime >= Each.WakeAt)
    return;
  Each.WakeAt = std::max(WakeTime, this->Queue.now() + milliseconds(1));
  this->Queue.at(Each.WakeAt,
                 [this, Index, Life = Each.Life, When = Each.WakeAt] {
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
      Requested, [&](const SendToPeer &Is) { this->deliver(Index, Is); },
      [&](const GatewayAction &Is) { this->perform(Index, Is); },
      [&](const AnswerResolve &Is) { this->Answer = Is.Hosts; },
      [&](const ReadHostList &) {
        ++this->Current.ListReads;
        HostListRead Read;
        for (const Host &Each : this->Hosts)
          if (Each.Life != 0)
            Read.Hosts.push_back({Each.Self.Host, Each.Self.Zone,
                                  Each.Self.Callers, Each.Self.Peers, false,
                                  Each.Self.Processor});
        this->Queue.after(StoreDelay, [this, Index, Read = std::move(Read),
                                       Life = this->Hosts[Index].Life] {
          this->send(Index, Life, Read);
        });
      },
      [](const auto &) {});
}

void HostSimulation::perform(std::size_t Index,
                             const GatewayAction &Requested) {
  const std::uint64_t Life = this->Hosts[Index].Life;
  match(
      Requested,
      [&](const DispatchRelay &Is) {
        ++this->Current.Sent[Is.Engine];
        const auto Sheds = this->Shedding.find(Is.Engine);
        const bool Refuses = Sheds != this->Shedding.end();
        const Duration Backoff = Refuses ? Sheds->second : Duration(0);
        std::vector<Arrival> &Arrivals = this->Arrived[Is.Engine];
        Arrivals.push_back({this->Queue.now(), Index, Backoff});
        if (this->Failing.contains(Is.Engine) ||
            this->FailedLinks.contains(Index)) {
          this->Queue.after(ResetDelay, [this, Index, Life, Id = Is.Attempt] {
            this->send(Index, Life,
                       GatewayEvent(RelayEnded{Id, RelayBroken{}}));
          });
          return;
        }
        const RunningRequest Each{Index,
                                  Life,
                                  Is.Attempt,
                                  Is.Request,
                                  this->Queue.now(),
                                  Arrivals.size() - 1};
        if (Refuses)
          this->refuseRun(Is.Engine, Each, Backoff);
        else
          this->serve(Is.Engine, Each);
      },
      [&](const RefuseRelay &Is) { this->handleRefusal(Index, Is); },
      [&](const BreakRelay &) { ++this->Current.Lost[Index]; },
      [&](const DeliverFailure &) { ++this->Current.Lost[Index]; },
      [&](const FollowStore &Is) {
        const bool Before =
            std::exchange(this->Hosts[Index].ReadsStore, Is.Enabled);
        if (Is.Enabled && !Before)
          this->readStore(Index, Life);
      },
      [&](const DecodeConfiguration &Is) {
        const std::uint64_t Told =
            std::stoull(Is.Document.substr(Is.Document.rfind(' ') + 1));
        this->Queue.after(this->decodeTime(Index, Is.Document.size()),
                          [this, Index, Life, Told] {
                            this->send(Index, Life,
                                       GatewayEvent(ConfigurationRead{
                                           this->configurationAt(Told),
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
    // A seed is written to by its address, as its name is not known yet.
    while (To < Seeds &&
           Sent.To.Value.find(addressOf(To).Ip + ":") == std::string::npos)
      ++To;
    if (To == Seeds)
      return;
  }
  this->Pairs.insert({From, To});
  if (this->Partitioned.contains(From) || this->Partitioned.contains(To))
    return;
  const Host &Sender = this->Hosts[From];
  PeerMessage Message{Sender.Self.Host, Sender.Self.Life, Sent.Body};
  const std::size_t Bytes = Sender.Available.BytesPerSecond == 0
                                ? 0
                                : encodePeerMessage(Message).size();
  this->chargeSending(From, Bytes);
  this->Queue.after(NetworkDelay + this->transfer(From, To, Bytes),
                    [this, To, Bytes, Message = std::move(Message)] {
                      this->send(To, this->Hosts[To].Life,
                                 PeerMessageReceived{Message}, Bytes);
                    });
}

void HostSimulation::readStore(std::size_t Index, std::uint64_t Life) {
  this->Queue.after(StoreDelay, [this, Index, Life] {
    Host &Each = this->Hosts[Index];
    if (!Each.Process || Each.Life != Life || !Each.ReadsStore)
      return;
    ++this->Current.StoreReads;
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
      if (!Each.Listed || Change.Offset >= Each.Next)
        Read.Changes.push_back(Change);
    Read.Complete = !Each.Listed;
    Read.UpTo = this->RegistryEnd;
    Each.Listed = true;
    Each.Next = this->RegistryEnd;
    const std::uint64_t Newest = this->Version;
    if (std::exchange(Each.SeenVersion, Newest) != Newest)
      this->send(Index, Life,
                 GatewayEvent(ConfigurationRead{this->configurationAt(Newest),
                                                ConfigurationSource::Store}));
    this->send(
        Index, Life,
        GatewayEvent(StoreObserved{StoreObserved::Part::Engines, true, ""}));
    this->send(Index, Life, GatewayEvent(std::move(Read)));
    this->Queue.after(StoreReadInterval,
                      [this, Index, Life] { this->readStore(Index, Life); });
  });
}

} // namespace banyanpick
