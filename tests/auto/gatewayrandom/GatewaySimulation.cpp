#include "auto/gatewayrandom/GatewaySimulation.h"

#include "base/Visitor.h"
#include "fakes/GatewayDeclarations.h"
#include "kernel/AddressText.h"
#include "kernel/GatewayServices.h"
#include "wire/PeerCodec.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace banyanpick {

namespace {

constexpr std::size_t Zones = 3;
constexpr milliseconds ReadPause(50);
constexpr milliseconds StoreRetry(400);
constexpr seconds ReadWait(2);
/// Everything is well again so long after the last fault.
constexpr seconds QuietFor(16);
/// Requests of the last part of the quiet time must all be whole.
constexpr seconds CalmFor(5);
constexpr milliseconds LateMargin(600);

Identity identityOf(std::size_t At) {
  Identity Result;
  Result.Host = HostId(fmt::format("h{:02}", At));
  Result.Zone = ZoneId(fmt::format("z{}", At % Zones));
  Result.Callers = {"127.0.0.1", static_cast<std::uint16_t>(1000 + At)};
  Result.Peers = {"127.0.0.1", static_cast<std::uint16_t>(2000 + At)};
  return Result;
}

Settings settings() {
  Settings Result = gatewaySettingsForTests();
  Result.set("membership", "seeds", "127.0.0.1:2000,127.0.0.1:2001");
  Result.set("membership", "heartbeat_interval", "250ms");
  Result.set("membership", "suspect_after", "700ms");
  Result.set("membership", "dead_after", "2s");
  Result.set("membership", "forget_after", "30s");
  Result.set("membership", "host_list_interval", "5s");
  return Result;
}

} // namespace

GatewaySimulation::GatewaySimulation(std::uint64_t Seed,
                                     const SimulationOptions &ShapeGiven)
    : Numbers(Seed), Queue(Time(seconds(1'000'000))), Shape(ShapeGiven),
      Hosts(ShapeGiven.Hosts) {
  for (std::size_t At = 0; At < this->Shape.Upstreams; ++At) {
    SimulatedUpstream Each;
    Each.Record.Id = UpstreamId(fmt::format("u{}", At));
    Each.Record.Service = ServiceId(At % 3 == 0 ? "ring" : "desk");
    Each.Record.At = {"127.0.0.1", static_cast<std::uint16_t>(3000 + At)};
    Each.Record.Zone = ZoneId(fmt::format("z{}", At % Zones));
    Each.Record.Slots = 16;
    this->Upstreams.All.push_back(Each);
    this->Store.registerEngine(Each.Record);
  }
  for (std::size_t At = 0; At < this->Hosts.size(); ++At) {
    this->Hosts[At].Self = identityOf(At);
    this->startHost(At);
  }
}

GatewaySimulation::~GatewaySimulation() = default;

void GatewaySimulation::run() {
  const Time Start = this->Queue.now() + seconds(2);
  this->Queue.runUntil(Start);
  this->scheduleNextArrival();
  this->scheduleNextFault(Start + this->Shape.FaultPeriod);
  // The longest fault begins at its end.
  this->Queue.runUntil(Start + this->Shape.FaultPeriod + seconds(5));
  this->Quiet = true;
  this->Queue.runUntil(this->Queue.now() + QuietFor);
  this->Arriving = false;
  this->checkHostViews();
  this->Queue.runUntil(this->Queue.now() + seconds(8));
  this->checkCalls();
}

void GatewaySimulation::startHost(std::size_t At) {
  Host &Each = this->Hosts[At];
  Each.Life = ++this->Lives;
  Each.Self.Life = Incarnation(1000 + Each.Life);
  Each.Decider = std::make_unique<Kernel>(Each.Self, settings(),
                                          this->Numbers.below(1U << 30),
                                          ServingMode::Gateway);
  Each.Decider->checkEveryEvent();
  Each.WakeAt = Never;
  Each.Follows = true;
  Each.Listed = false;
  Each.StoreFailed = true;
  Each.SeenVersion = 0;
  Each.Cancelled.clear();
  this->send(At, Each.Life, Tick{});
  this->readStore(At, Each.Life);
}

void GatewaySimulation::killHost(std::size_t At) {
  Host &Each = this->Hosts[At];
  if (Each.Decider && Each.Decider->invariantsBroken() > 0)
    this->addViolation(fmt::format("an invariant of host {}", At));
  Each.Decider.reset();
  for (const auto &Call : this->Calls)
    if (Call->Host == At && Call->HostLife == Each.Life && !Call->EndedAt)
      Call->Disturbed = true;
}

void GatewaySimulation::send(std::size_t At, std::uint64_t Life, Event What) {
  Host &Each = this->Hosts[At];
  if (!Each.Decider || Each.Life != Life)
    return;
  if (this->Queue.now() < Each.PausedUntil) {
    this->Queue.at(Each.PausedUntil, [this, At, Life, What = std::move(What)] {
      this->send(At, Life, What);
    });
    return;
  }
  const std::vector<Action> Wanted =
      Each.Decider->handle(What, this->Queue.now());
  for (const Action &One : Wanted)
    this->perform(At, One);
  this->scheduleWake(At);
}

void GatewaySimulation::scheduleWake(std::size_t At) {
  Host &Each = this->Hosts[At];
  if (!Each.Decider)
    return;
  const Time Wanted = Each.Decider->nextWake();
  if (Wanted == Never)
    return;
  // A driver's timers are no finer.
  const Time When =
      std::max(Wanted, this->Queue.now() + std::chrono::microseconds(200));
  if (Each.WakeAt <= When)
    return;
  Each.WakeAt = When;
  this->Queue.at(When, [this, At, Life = Each.Life, When] {
    Host &Woken = this->Hosts[At];
    if (Woken.Life != Life || Woken.WakeAt != When)
      return;
    Woken.WakeAt = Never;
    this->send(At, Life, Tick{});
  });
}

void GatewaySimulation::perform(std::size_t At, const Action &Wanted) {
  match(
      Wanted, [&](const GatewayAction &Is) { this->perform(At, Is); },
      [&](const SendToPeer &Is) { this->deliver(At, Is); },
      [&](const ReadHostList &) { this->readHosts(At); }, [](const auto &) {});
}

void GatewaySimulation::perform(std::size_t At, const GatewayAction &Wanted) {
  const std::uint64_t Life = this->Hosts[At].Life;
  match(
      Wanted, [&](const DispatchRelay &Is) { this->dispatch(At, Is); },
      [&](const CancelRelay &Is) {
        this->Hosts[At].Cancelled.insert(Is.Attempt);
      },
      [&](const RefuseRelay &Is) {
        this->endCall(At, Is.Request, false, Is.Kind == RefusalKind::NotRun);
      },
      [&](const DeliverFailure &Is) {
        this->endCall(At, Is.Request, false, false);
      },
      [&](const BreakRelay &Is) {
        this->endCall(At, Is.Request, false, false);
      },
      [&](const DecodeConfiguration &Is) {
        const auto Version = std::stoull(Is.Document.substr(8));
        this->after(milliseconds(1), [this, At, Life, Version] {
          this->send(
              At, Life,
              GatewayEvent(ConfigurationRead{gatewayDeclarations(Version),
                                             ConfigurationSource::Peer}));
        });
      },
      [&](const AskReport &Is) {
        this->after(milliseconds(2), [this, At, Life, Engine = Is.Engine] {
          this->send(At, Life, GatewayEvent(EngineReportFailed{Engine}));
        });
      },
      [&](const FollowStore &Is) {
        const bool Resumes = Is.Enabled && !this->Hosts[At].Follows;
        this->Hosts[At].Follows = Is.Enabled;
        if (Resumes)
          this->readStore(At, Life);
      },
      [](const auto &) {});
}

std::optional<std::size_t>
GatewaySimulation::hostNamed(const HostId &Id) const {
  constexpr std::string_view Seed = "seed ";
  for (std::size_t At = 0; At < this->Hosts.size(); ++At) {
    const Identity &Self = this->Hosts[At].Self;
    if (Id == Self.Host || Id.Value == std::string(Seed) + text(Self.Peers))
      return At;
  }
  return std::nullopt;
}

void GatewaySimulation::deliver(std::size_t From, const SendToPeer &Sent) {
  const auto To = this->hostNamed(Sent.To);
  constexpr std::uint64_t LostOfHundred = 1;
  if (!To || !this->Hosts[From].ReachesPeers ||
      this->Numbers.below(100) < LostOfHundred)
    return;
  const Identity &Self = this->Hosts[From].Self;
  // Through the codec, as it would go.
  std::string Bytes = encodePeerMessage({Self.Host, Self.Life, Sent.Body});
  this->after(milliseconds(1 + this->Numbers.below(4)),
              [this, To = *To, Bytes = std::move(Bytes)] {
                Host &Each = this->Hosts[To];
                if (Each.HearsPeers)
                  this->send(To, Each.Life,
                             PeerMessageReceived{decodePeerMessage(Bytes)});
              });
}

void GatewaySimulation::readHosts(std::size_t At) {
  this->after(milliseconds(5), [this, At, Life = this->Hosts[At].Life] {
    if (this->Store.Down || this->Hosts[At].CutFromStore) {
      this->send(At, Life, HostListReadFailed{});
      return;
    }
    HostListRead Read;
    for (const Host &Each : this->Hosts)
      if (Each.Decider)
        Read.Hosts.push_back({Each.Self.Host, Each.Self.Zone, Each.Self.Callers,
                              Each.Self.Peers, false});
    this->send(At, Life, Read);
  });
}

void GatewaySimulation::dispatch(std::size_t At, const DispatchRelay &Order) {
  SimulatedCall *Of = this->callOf(At, Order.Request);
  if (!Of)
    return;
  const std::uint64_t Life = this->Hosts[At].Life;
  this->after(milliseconds(1), [this, At, Life, Order, Of] {
    if (this->Hosts[At].Cancelled.contains(Order.Attempt))
      return;
    const AttemptPlan Plan = this->Upstreams.planAttempt(Order, this->Numbers);
    Of->Runs += Plan.Ran ? 1 : 0;
    if (!Plan.Answers)
      return;
    if (Plan.BeganAfter != Duration::max())
      this->after(Plan.BeganAfter, [this, At, Life, Order] {
        if (!this->Hosts[At].Cancelled.contains(Order.Attempt))
          this->send(At, Life, GatewayEvent(RelayBegan{Order.Attempt}));
      });
    this->endAttempt(At, Life, Order, Plan, *Of);
  });
}

void GatewaySimulation::endAttempt(std::size_t At, std::uint64_t Life,
                                   const DispatchRelay &Order,
                                   const AttemptPlan &Plan, SimulatedCall &Of) {
  const SimulatedUpstream *Runs =
      Plan.Ran ? this->Upstreams.at(Order.At) : nullptr;
  const std::uint64_t UpstreamLife = Runs ? Runs->Life : 0;
  this->after(Plan.EndsAfter, [this, At, Life, Order, Plan, &Of, UpstreamLife] {
    Host &Each = this->Hosts[At];
    if (Each.Life != Life || Each.Cancelled.contains(Order.Attempt))
      return;
    RelayOutcome Outcome = Plan.Outcome;
    const SimulatedUpstream *Now = this->Upstreams.at(Order.At);
    if (Plan.Ran && (!Now || Now->Life != UpstreamLife))
      Outcome = RelayBroken{RelayBroken::Why::Reset, Order.Stream,
                            Order.Stream ? std::optional<std::uint64_t>(
                                               Order.LastEvent.value_or(0) + 1)
                                         : std::nullopt};
    if (std::holds_alternative<RelayDelivered>(Outcome))
      this->endCall(At, Of.Id, true, false);
    this->send(At, Life, GatewayEvent(RelayEnded{Order.Attempt, Outcome}));
  });
}

SimulatedCall *GatewaySimulation::callOf(std::size_t At, const RequestId &Id) {
  const auto Found = this->ByRequest.find({At, Id});
  return Found == this->ByRequest.end() ? nullptr : Found->second;
}

void GatewaySimulation::endCall(std::size_t At, const RequestId &Id,
                                bool Complete, bool ReportedNotRun) {
  SimulatedCall *Of = this->callOf(At, Id);
  if (!Of || Of->EndedAt)
    return;
  Of->EndedAt = this->Queue.now();
  Of->Complete = Complete;
  Of->ReportedNotRun = ReportedNotRun;
}

void GatewaySimulation::readStore(std::size_t At, std::uint64_t Life) {
  Host &Each = this->Hosts[At];
  if (!Each.Decider || Each.Life != Life || !Each.Follows)
    return;
  const auto Again = [this, At, Life](Duration Delay) {
    this->after(Delay, [this, At, Life] { this->readStore(At, Life); });
  };
  if (this->Store.Down || Each.CutFromStore) {
    this->noteStore(At, false);
    Again(StoreRetry);
    return;
  }
  const Time Now = this->Queue.now();
  const bool News = !Each.Listed || Each.Next < this->Store.end() ||
                    Each.SeenVersion < this->Store.version();
  if (!News && Now < Each.ReadUntil) {
    Again(ReadPause);
    return;
  }
  this->noteStore(At, true);
  EnginesRead Read =
      Each.Listed ? this->Store.readFrom(Each.Next) : this->Store.list();
  Each.Listed = true;
  Each.Next = Read.UpTo;
  Each.ReadUntil = Now + ReadWait;
  this->QuietReads += this->Quiet ? 1 : 0;
  if (Each.SeenVersion < this->Store.version()) {
    Each.SeenVersion = this->Store.version();
    this->send(
        At, Life,
        GatewayEvent(ConfigurationRead{gatewayDeclarations(Each.SeenVersion),
                                       ConfigurationSource::Store}));
  }
  this->send(At, Life, GatewayEvent(std::move(Read)));
  Again(ReadPause);
}

void GatewaySimulation::noteStore(std::size_t At, bool Reachable) {
  Host &Each = this->Hosts[At];
  if (Each.StoreFailed == !Reachable)
    return;
  Each.StoreFailed = !Reachable;
  for (const auto Part :
       {StoreObserved::Part::Configuration, StoreObserved::Part::Engines})
    this->send(
        At, Each.Life,
        GatewayEvent(StoreObserved{Part, Reachable, "as the world says"}));
}

void GatewaySimulation::scheduleNextArrival() {
  this->after(milliseconds(1 + this->Numbers.below(30)), [this] {
    if (!this->Arriving)
      return;
    this->arrive();
    this->scheduleNextArrival();
  });
}

void GatewaySimulation::arrive() {
  const std::size_t At = this->Numbers.below(this->Hosts.size());
  Host &Each = this->Hosts[At];
  const auto *InForce =
      Each.Decider ? Each.Decider->services().find<InForceView>() : nullptr;
  if (!InForce || !InForce->isReady())
    return;
  constexpr std::array Kinds{RequestKind::Repeatable, RequestKind::AtMostOnce,
                             RequestKind::Stream};
  constexpr std::array Paths{"/safe/x", "/once/x", "/stream/x"};
  const std::size_t Kind = this->Numbers.below(Kinds.size());
  RelayHead Head;
  Head.Id = RequestId(++this->Requests);
  Head.Host = "a.example";
  Head.Path = Paths[Kind];
  Head.Key = "key";
  Head.Remaining = milliseconds(800 + this->Numbers.below(2000));
  Head.PromptTokens = Kind == 2 ? this->promptTokens() : 0;
  Head.Content = Fingerprint(Head.Id.Value);
  auto Call = std::make_unique<SimulatedCall>();
  Call->Kind = Kinds[Kind];
  Call->Host = At;
  Call->HostLife = Each.Life;
  Call->Id = Head.Id;
  Call->ArrivedAt = this->Queue.now();
  // The routes' time limit.
  Call->Deadline =
      Call->ArrivedAt + std::min<Duration>(*Head.Remaining, seconds(2));
  Call->Disturbed = this->Queue.now() < Each.PausedUntil;
  this->ByRequest[{At, Head.Id}] = Call.get();
  this->Calls.push_back(std::move(Call));
  this->send(At, Each.Life, GatewayEvent(RelayArrived{std::move(Head)}));
}

std::uint64_t GatewaySimulation::promptTokens() {
  // What two engines can read as declared, at the rate of arrivals: hosts
  // rightly refuse what those cannot read in time.
  const std::uint64_t Drawn = this->Numbers.below(300'000);
  return 1000 + Drawn % (Drawn % 8 == 0 ? 60'000 : 3000);
}

void GatewaySimulation::after(Duration Delay, std::function<void()> Callback) {
  this->Queue.after(Delay, std::move(Callback));
}

std::size_t GatewaySimulation::completeCalls() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->Calls, [](const auto &Each) { return Each->Complete; }));
}

std::size_t GatewaySimulation::followingHosts() const {
  return static_cast<std::size_t>(
      std::ranges::count(this->Hosts, true, &Host::Follows));
}

void GatewaySimulation::addViolation(std::string What) {
  this->Violations.push_back(std::move(What));
}

void GatewaySimulation::checkCalls() {
  const Time Calm = this->Queue.now() - seconds(8) - CalmFor;
  for (const auto &Each : this->Calls) {
    const std::string Name =
        fmt::format("request {} at host {}", Each->Id.Value, Each->Host);
    if (Each->Kind == RequestKind::AtMostOnce && Each->Runs > 1)
      this->addViolation(Name + " ran twice");
    if (Each->ReportedNotRun && Each->Runs > 0)
      this->addViolation(Name + " ran though it was said not to");
    if (Each->Disturbed)
      continue;
    if (!Each->EndedAt)
      this->addViolation(Name + " never ended");
    else if (*Each->EndedAt > Each->Deadline + LateMargin)
      this->addViolation(Name + " ended late");
    if (Each->ArrivedAt >= Calm && !Each->Complete)
      this->addViolation(Name + " was not served in calm");
  }
}

void GatewaySimulation::checkHostViews() {
  for (std::size_t At = 0; At < this->Hosts.size(); ++At) {
    Kernel &Decider = *this->Hosts[At].Decider;
    if (Decider.invariantsBroken() > 0)
      this->addViolation(fmt::format("an invariant of host {}", At));
    if (Decider.services().get<InForceView>().version() !=
        this->Store.version())
      this->addViolation(fmt::format("host {} has an old configuration", At));
    this->checkKnownUpstreams(At);
  }
}

void GatewaySimulation::checkKnownUpstreams(std::size_t At) {
  const auto &Directory =
      this->Hosts[At].Decider->services().get<EngineDirectory>();
  std::size_t Known = 0;
  for (const char *Service : {"ring", "desk"})
    for (const RegisteredEngine *Each :
         Directory.ofService(ServiceId(Service))) {
      ++Known;
      if (!this->Store.engines().contains(Each->Record.Id))
        this->addViolation(fmt::format(
            "host {} believes in upstream {}, {} as of {}", At,
            Each->Record.Id.Value, name(Each->Standing), Each->Offset));
    }
  if (Known < this->Store.engines().size())
    this->addViolation(fmt::format("host {} knows {} of {} upstreams", At,
                                   Known, this->Store.engines().size()));
}

} // namespace banyanpick
