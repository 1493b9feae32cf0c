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
/// Time without faults before the checks. The deployment must recover within
/// this time after the last fault.
constexpr seconds QuietFor(16);
/// All requests of the last part of the quiet time must be answered completely.
constexpr seconds CalmFor(5);
constexpr milliseconds LateMargin(600);
/// An evacuation that began before the quiet time is in force this long after
/// its start: deputies read the store in place of readers that were cut off.
constexpr seconds EvacuatedWithin(5);

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
                                     const SimulationOptions &OptionsGiven)
    : Numbers(Seed), Queue(Time(seconds(1'000'000))), Options(OptionsGiven),
      Hosts(OptionsGiven.Hosts) {
  for (std::size_t At = 0; At < this->Options.Upstreams; ++At) {
    SimulatedUpstream Upstream;
    Upstream.Record.Id = UpstreamId(fmt::format("u{}", At));
    Upstream.Record.Service = ServiceId(At % 3 == 0 ? "ring" : "desk");
    Upstream.Record.At = {"127.0.0.1", static_cast<std::uint16_t>(3000 + At)};
    Upstream.Record.Zone = ZoneId(fmt::format("z{}", At % Zones));
    Upstream.Record.Slots = 16;
    this->Upstreams.All.push_back(Upstream);
    this->Store.registerEngine(Upstream.Record);
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
  this->scheduleNextFault(Start + this->Options.FaultPeriod);
  // The last fault may begin at the end of the fault period and be the longest.
  this->Queue.runUntil(Start + this->Options.FaultPeriod + seconds(5));
  this->Quiet = true;
  this->QuietSince = this->Queue.now();
  this->Queue.runUntil(this->Queue.now() + QuietFor);
  this->Arriving = false;
  this->checkHostViews();
  this->Queue.runUntil(this->Queue.now() + seconds(8));
  this->checkCalls();
}

void GatewaySimulation::startHost(std::size_t At) {
  Host &Current = this->Hosts[At];
  Current.Life = ++this->Lives;
  Current.Self.Life = Incarnation(1000 + Current.Life);
  Current.Decider = std::make_unique<Kernel>(Current.Self, settings(),
                                             this->Numbers.below(1U << 30),
                                             ServingMode::Gateway);
  Current.Decider->checkEveryEvent();
  Current.WakeAt = Never;
  Current.Follows = false;
  Current.Listed = false;
  Current.StoreFailed = true;
  Current.SeenVersion = 0;
  Current.Cancelled.clear();
  this->send(At, Current.Life, Tick{});
}

void GatewaySimulation::killHost(std::size_t At) {
  Host &Current = this->Hosts[At];
  if (Current.Decider && Current.Decider->invariantsBroken() > 0)
    this->addViolation(fmt::format("an invariant of host {}", At));
  Current.Decider.reset();
  for (const auto &Call : this->Calls)
    if (Call->Host == At && Call->HostLife == Current.Life && !Call->EndedAt)
      Call->Disturbed = true;
}

void GatewaySimulation::send(std::size_t At, std::uint64_t Life, Event Input) {
  Host &Current = this->Hosts[At];
  if (!Current.Decider || Current.Life != Life)
    return;
  if (this->Queue.now() < Current.PausedUntil) {
    this->Queue.at(Current.PausedUntil,
                   [this, At, Life, Input = std::move(Input)] {
                     this->send(At, Life, Input);
                   });
    return;
  }
  const std::vector<Action> Wanted =
      Current.Decider->handle(Input, this->Queue.now());
  for (const Action &Next : Wanted)
    this->perform(At, Next);
  this->scheduleWake(At);
}

void GatewaySimulation::scheduleWake(std::size_t At) {
  Host &Current = this->Hosts[At];
  if (!Current.Decider)
    return;
  const Time Wanted = Current.Decider->nextWake();
  if (Wanted == Never)
    return;
  // The minimum resolution of a driver's timers.
  const Time When =
      std::max(Wanted, this->Queue.now() + std::chrono::microseconds(200));
  if (Current.WakeAt <= When)
    return;
  Current.WakeAt = When;
  this->Queue.at(When, [this, At, Life = Current.Life, When] {
    Host &Woken = this->Hosts[At];
    if (Woken.Life != Life || Woken.WakeAt != When)
      return;
    Woken.WakeAt = Never;
    this->send(At, Life, Tick{});
  });
}

void GatewaySimulation::perform(std::size_t At, const Action &Wanted) {
  match(
      Wanted, [&](const GatewayAction &Order) { this->perform(At, Order); },
      [&](const SendToPeer &Order) { this->deliver(At, Order); },
      [&](const ReadHostList &) { this->readHosts(At); }, [](const auto &) {});
}

void GatewaySimulation::perform(std::size_t At, const GatewayAction &Wanted) {
  const std::uint64_t Life = this->Hosts[At].Life;
  match(
      Wanted, [&](const DispatchRelay &Order) { this->dispatch(At, Order); },
      [&](const CancelRelay &Order) {
        this->Hosts[At].Cancelled.insert(Order.Attempt);
      },
      [&](const RefuseRelay &Order) {
        this->endCall(At, Order.Request, false,
                      Order.Kind == RefusalKind::NotRun);
      },
      [&](const DeliverFailure &Order) {
        this->endCall(At, Order.Request, false, false);
      },
      [&](const BreakRelay &Order) {
        this->endCall(At, Order.Request, false, false);
      },
      [&](const DecodeConfiguration &Order) {
        const auto Version = std::stoull(Order.Document.substr(8));
        this->after(milliseconds(1), [this, At, Life, Version] {
          this->send(
              At, Life,
              GatewayEvent(ConfigurationRead{gatewayDeclarations(Version),
                                             ConfigurationSource::Peer}));
        });
      },
      [&](const AskReport &Order) {
        this->after(milliseconds(2), [this, At, Life, Order] {
          const bool Refused = !this->Upstreams.at(Order.At);
          this->send(At, Life,
                     GatewayEvent(EngineReportFailed{Order.Engine, Refused}));
        });
      },
      [&](const FollowStore &Order) {
        const bool Resumes = Order.Enabled && !this->Hosts[At].Follows;
        this->Hosts[At].Follows = Order.Enabled;
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
  // The message passes through the codec, as in production.
  std::string Bytes = encodePeerMessage({Self.Host, Self.Life, Sent.Body});
  this->after(milliseconds(1 + this->Numbers.below(4)),
              [this, To = *To, Bytes = std::move(Bytes)] {
                Host &Receiver = this->Hosts[To];
                if (Receiver.HearsPeers)
                  this->send(To, Receiver.Life,
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
    for (const Host &Peer : this->Hosts)
      if (Peer.Decider)
        Read.Hosts.push_back({Peer.Self.Host, Peer.Self.Zone, Peer.Self.Callers,
                              Peer.Self.Peers, false});
    this->send(At, Life, Read);
  });
}

void GatewaySimulation::dispatch(std::size_t At, const DispatchRelay &Order) {
  SimulatedCall *Call = this->callOf(At, Order.Request);
  if (!Call)
    return;
  const std::uint64_t Life = this->Hosts[At].Life;
  this->after(milliseconds(1), [this, At, Life, Order, Call] {
    if (this->Hosts[At].Cancelled.contains(Order.Attempt))
      return;
    this->checkEvacuation(Order);
    const AttemptPlan Plan = this->Upstreams.planAttempt(Order, this->Numbers);
    Call->Runs += Plan.Ran ? 1 : 0;
    if (!Plan.Answers)
      return;
    if (Plan.BeganAfter != Duration::max())
      this->after(Plan.BeganAfter, [this, At, Life, Order] {
        if (!this->Hosts[At].Cancelled.contains(Order.Attempt))
          this->send(At, Life, GatewayEvent(RelayBegan{Order.Attempt}));
      });
    this->endAttempt(At, Life, Order, Plan, *Call);
  });
}

void GatewaySimulation::endAttempt(std::size_t At, std::uint64_t Life,
                                   const DispatchRelay &Order,
                                   const AttemptPlan &Plan,
                                   SimulatedCall &Call) {
  const SimulatedUpstream *Runs =
      Plan.Ran ? this->Upstreams.at(Order.At) : nullptr;
  const std::uint64_t UpstreamLife = Runs ? Runs->Life : 0;
  this->after(Plan.EndsAfter, [this, At, Life, Order, Plan, &Call,
                               UpstreamLife] {
    Host &Current = this->Hosts[At];
    if (Current.Life != Life || Current.Cancelled.contains(Order.Attempt))
      return;
    RelayOutcome Outcome = Plan.Outcome;
    const SimulatedUpstream *Now = this->Upstreams.at(Order.At);
    if (Plan.Ran && (!Now || Now->Life != UpstreamLife))
      Outcome = RelayBroken{RelayBroken::Why::Reset, Order.Stream,
                            Order.Stream ? std::optional<std::uint64_t>(
                                               Order.LastEvent.value_or(0) + 1)
                                         : std::nullopt};
    if (std::holds_alternative<RelayDelivered>(Outcome))
      this->endCall(At, Call.Id, true, false);
    this->send(At, Life, GatewayEvent(RelayEnded{Order.Attempt, Outcome}));
  });
}

SimulatedCall *GatewaySimulation::callOf(std::size_t At, const RequestId &Id) {
  const auto Found = this->ByRequest.find({At, Id});
  return Found == this->ByRequest.end() ? nullptr : Found->second;
}

void GatewaySimulation::endCall(std::size_t At, const RequestId &Id,
                                bool Complete, bool ReportedNotRun) {
  SimulatedCall *Call = this->callOf(At, Id);
  if (!Call || Call->EndedAt)
    return;
  Call->EndedAt = this->Queue.now();
  Call->Complete = Complete;
  Call->ReportedNotRun = ReportedNotRun;
}

void GatewaySimulation::readStore(std::size_t At, std::uint64_t Life) {
  Host &Current = this->Hosts[At];
  if (!Current.Decider || Current.Life != Life || !Current.Follows)
    return;
  const auto Again = [this, At, Life](Duration Delay) {
    this->after(Delay, [this, At, Life] { this->readStore(At, Life); });
  };
  if (this->Store.Down || Current.CutFromStore) {
    this->noteStore(At, false);
    Again(StoreRetry);
    return;
  }
  const Time Now = this->Queue.now();
  const bool News = !Current.Listed || Current.Next < this->Store.end() ||
                    Current.SeenVersion < this->Store.version() ||
                    Current.NextEvacuation < this->Store.evacuationsEnd();
  if (!News && Now < Current.ReadUntil) {
    Again(ReadPause);
    return;
  }
  this->noteStore(At, true);
  EnginesRead Read =
      Current.Listed ? this->Store.readFrom(Current.Next) : this->Store.list();
  EvacuationsRead Evacuations =
      this->Store.readEvacuations(Current.NextEvacuation, !Current.Listed);
  Current.NextEvacuation = Evacuations.UpTo;
  Current.Listed = true;
  Current.Next = Read.UpTo;
  Current.ReadUntil = Now + ReadWait;
  this->QuietReads += this->Quiet ? 1 : 0;
  if (Current.SeenVersion < this->Store.version()) {
    Current.SeenVersion = this->Store.version();
    this->send(
        At, Life,
        GatewayEvent(ConfigurationRead{gatewayDeclarations(Current.SeenVersion),
                                       ConfigurationSource::Store}));
  }
  if (Evacuations.Complete || !Evacuations.Records.empty())
    this->send(At, Life, GatewayEvent(std::move(Evacuations)));
  this->send(At, Life, GatewayEvent(std::move(Read)));
  Again(ReadPause);
}

void GatewaySimulation::noteStore(std::size_t At, bool Reachable) {
  Host &Current = this->Hosts[At];
  if (Current.StoreFailed == !Reachable)
    return;
  Current.StoreFailed = !Reachable;
  for (const auto Part :
       {StoreObserved::Part::Configuration, StoreObserved::Part::Engines})
    this->send(
        At, Current.Life,
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
  Host &Current = this->Hosts[At];
  const auto *InForce = Current.Decider
                            ? Current.Decider->services().find<InForceView>()
                            : nullptr;
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
  Call->HostLife = Current.Life;
  Call->Id = Head.Id;
  Call->ArrivedAt = this->Queue.now();
  // The time limit of the routes.
  Call->Deadline =
      Call->ArrivedAt + std::min<Duration>(*Head.Remaining, seconds(2));
  Call->Disturbed = this->Queue.now() < Current.PausedUntil;
  this->ByRequest[{At, Head.Id}] = Call.get();
  this->Calls.push_back(std::move(Call));
  this->send(At, Current.Life, GatewayEvent(RelayArrived{std::move(Head)}));
}

std::uint64_t GatewaySimulation::promptTokens() {
  // Two engines can prefill these prompts at the arrival rate with their
  // declared speed. Hosts correctly refuse prompts that cannot be prefilled in
  // time.
  const std::uint64_t Drawn = this->Numbers.below(300'000);
  return 1000 + Drawn % (Drawn % 8 == 0 ? 60'000 : 3000);
}

void GatewaySimulation::after(Duration Delay, std::function<void()> Callback) {
  this->Queue.after(Delay, std::move(Callback));
}

std::size_t GatewaySimulation::completeCalls() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->Calls, [](const auto &Call) { return Call->Complete; }));
}

std::size_t GatewaySimulation::followingHosts() const {
  return static_cast<std::size_t>(
      std::ranges::count(this->Hosts, true, &Host::Follows));
}

void GatewaySimulation::addViolation(std::string Violation) {
  this->Violations.push_back(std::move(Violation));
}

void GatewaySimulation::checkCalls() {
  const Time Calm = this->Queue.now() - seconds(8) - CalmFor;
  for (const auto &Call : this->Calls) {
    const std::string Name =
        fmt::format("request {} at host {}", Call->Id.Value, Call->Host);
    if (Call->Kind == RequestKind::AtMostOnce && Call->Runs > 1)
      this->addViolation(Name + " ran twice");
    if (Call->ReportedNotRun && Call->Runs > 0)
      this->addViolation(Name + " ran though it was reported as not run");
    if (Call->Disturbed)
      continue;
    if (!Call->EndedAt)
      this->addViolation(Name + " never ended");
    else if (*Call->EndedAt > Call->Deadline + LateMargin)
      this->addViolation(Name + " ended late");
    if (Call->ArrivedAt >= Calm && !Call->Complete)
      this->addViolation(Name + " was not served after the faults ended");
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
    const auto &Evacuations = Decider.services().get<EvacuationView>();
    if (Evacuations.isEvacuated(evacuatedZone()) !=
        this->Store.isEvacuated(evacuatedZone()))
      this->addViolation(fmt::format("host {} errs about evacuations", At));
    this->checkKnownUpstreams(At);
  }
}

void GatewaySimulation::checkEvacuation(const DispatchRelay &Order) {
  const SimulatedUpstream *Upstream = this->Upstreams.at(Order.At);
  if (this->Quiet && Upstream &&
      this->Queue.now() > this->QuietSince + EvacuatedWithin &&
      this->Store.isEvacuated(Upstream->Record.Zone))
    this->addViolation(fmt::format("request {} was sent to an evacuated zone",
                                   Order.Request.Value));
}

void GatewaySimulation::checkKnownUpstreams(std::size_t At) {
  const auto &Directory =
      this->Hosts[At].Decider->services().get<EngineDirectory>();
  std::size_t Known = 0;
  for (const char *Service : {"ring", "desk"})
    for (const RegisteredEngine *Engine :
         Directory.ofService(ServiceId(Service))) {
      ++Known;
      if (!this->Store.engines().contains(Engine->Record.Id))
        this->addViolation(fmt::format(
            "host {} lists the removed upstream {}, {} as of {}", At,
            Engine->Record.Id.Value, name(Engine->Standing), Engine->Offset));
    }
  if (Known < this->Store.engines().size())
    this->addViolation(fmt::format("host {} knows {} of {} upstreams", At,
                                   Known, this->Store.engines().size()));
}

} // namespace banyanpick
