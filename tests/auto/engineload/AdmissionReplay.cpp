#include "auto/engineload/AdmissionReplay.h"

#include "base/Milliseconds.h"
#include "fakes/PluginViews.h"
#include "plugins/engineload/PrefillCost.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyanpick {

namespace {

/// One way between a host and an engine, and the delay of work reports.
constexpr milliseconds EngineDelay(6);
constexpr milliseconds ReportDelay(30);

/// The load before and after the burst.
constexpr seconds Lead(6);
constexpr seconds Trail(6);
constexpr seconds Drain(20);
constexpr seconds FailingFor(3);

/// How long an engine is avoided after a failure, and the delay until all hosts
/// know.
constexpr milliseconds AvoidedAfter(100);
constexpr seconds AvoidedFor(4);

constexpr double LateCredit = 0.25;

/// A caller leaves when an event is this many gap bounds late.
constexpr int LostGaps = 5;

/// A caller leaves without a first token after so many objectives, or two
/// seconds.
constexpr int PatienceFactor = 2;
constexpr seconds MinPatience(2);

const ServiceId Service("ring");

/// All hosts are active and share all engines.
class SharedEngines : public ActiveHostsView {
public:
  explicit SharedEngines(std::vector<HostId> Ids) : Ids(std::move(Ids)) {}
  bool isActive() const override { return true; }
  std::span<const HostId> activeHosts() const override { return this->Ids; }
  std::span<const HostId> sharers() const override { return this->Ids; }
  std::span<const HostId> partners() const override { return this->Ids; }
  EngineShare shareOf(const ServiceId &) const override { return {}; }

private:
  std::vector<HostId> Ids;
};

HostId hostName(std::size_t Index) {
  return HostId(fmt::format("h{:03}", Index));
}

} // namespace

ReplayCount &ReplayCount::operator+=(const ReplayCount &Other) {
  for (const auto Member :
       {&ReplayCount::Sent, &ReplayCount::InTime, &ReplayCount::Late,
        &ReplayCount::Refused, &ReplayCount::GaveUp, &ReplayCount::Lost,
        &ReplayCount::LargestSent, &ReplayCount::LargestServed})
    this->*Member += Other.*Member;
  this->Value += Other.Value;
  this->MaxValue += Other.MaxValue;
  return *this;
}

namespace {

/// A deployment without home regions.
class AnyRegion : public RegionView {
public:
  RegionId regionOf(const ZoneId &) const override { return RegionId(); }
  bool isHome(const ZoneId &, const HomeRegions &) const override {
    return true;
  }
};

} // namespace

struct AdmissionReplay::Host {
  Host(const std::string &Name, std::vector<HostId> Ids, std::uint64_t Seed)
      : Members(HostId(Name)), Active(std::move(Ids)),
        Values(Settings::defaults(EngineLoadPlugin::settings())), Rng(Seed) {
    this->Self.Host = HostId(Name);
    this->Self.Life = Incarnation(Seed + 1);
    this->Self.Zone = ZoneId("z");
  }

  Identity Self;
  FakeMembershipView Members;
  AnyRegion Regions;
  SharedEngines Active;
  Settings Values;
  Services Registry;
  Random Rng;
  EngineLoadPlugin Loads;
  Time WakeAt = Never;
};

AdmissionReplay::AdmissionReplay(const ReplaySetup &Wanted)
    : Setup(Wanted), Numbers(Wanted.Seed) {
  for (std::size_t Index = 0; Index < Wanted.Engines; ++Index) {
    RegisteredEngine Engine;
    Engine.Record.Id = UpstreamId(fmt::format("e{:03}", Index));
    Engine.Record.Service = Service;
    Engine.Record.Zone = ZoneId("z");
    Engine.Record.Slots = Wanted.Model.Slots;
    this->Registered.push_back(Engine);
    this->Engines.emplace_back(Wanted.Model);
  }
  this->Passes.resize(Wanted.Engines);
  for (const RegisteredEngine &Engine : this->Registered)
    this->Listed.push_back(&Engine);
  auto Declared = std::make_shared<GatewayConfiguration>();
  Declared->Version = 1;
  Declared->Services[Service].Id = Service;
  Declared->Services[Service].Engine = Wanted.Model;
  for (const ReplayKind &Kind : Wanted.Kinds) {
    RouteEntry Route;
    Route.Objective = Kind.Objective;
    Route.MaxEventGap = Kind.MaxEventGap;
    Route.Split = {{Service, 1}};
    Declared->Routes.push_back(Route);
  }
  this->Table = std::make_unique<RouteTable>(Declared);
  std::vector<HostId> Ids;
  for (std::size_t Index = 0; Index < Wanted.Hosts; ++Index)
    Ids.push_back(hostName(Index));
  for (std::size_t Index = 0; Index < Wanted.Hosts; ++Index) {
    this->Hosts.push_back(std::make_unique<Host>(Ids[Index].Value, Ids,
                                                 Wanted.Seed * 1000 + Index));
    Host &Added = *this->Hosts.back();
    Added.Values.set("placement", "admission", Wanted.Admission);
    Added.Registry.provide<MembershipView>(Added.Members);
    Added.Registry.provide<RegionView>(Added.Regions);
    Added.Registry.provide<ActiveHostsView>(Added.Active);
    Added.Registry.provide<EngineDirectory>(*this);
    Added.Registry.provide<RouteView>(*this);
    Added.Registry.provide<EngineTrustView>(*this);
    Added.Registry.provide<EngineQuota>(*this);
    Added.Registry.provide<EngineGate>(*this);
    PluginContext Context(Added.Self, Added.Values, Added.Registry, Added.Rng);
    Added.Loads.initialize(Context);
  }
}

AdmissionReplay::~AdmissionReplay() = default;

std::size_t AdmissionReplay::indexOf(const UpstreamId &Id) const {
  return static_cast<std::size_t>(std::stoul(Id.Value.substr(1)));
}

const RegisteredEngine *AdmissionReplay::find(const UpstreamId &Id) const {
  return this->Listed[this->indexOf(Id)];
}

bool AdmissionReplay::isAvoided(const UpstreamId &Id, Time Now) const {
  const auto Found = this->AvoidedFrom.find(Id);
  return Found != this->AvoidedFrom.end() && Now >= Found->second &&
         Now < Found->second + AvoidedFor;
}

void AdmissionReplay::decide(std::size_t At, const Step &Decision) {
  Actions Out;
  Decision(this->Hosts[At]->Loads, Out);
  for (const Action &Requested : Out.items()) {
    const auto *Sent = std::get_if<SendToPeer>(&Requested);
    if (!Sent)
      continue;
    const auto To =
        static_cast<std::size_t>(std::stoul(Sent->To.Value.substr(1)));
    this->Queue.after(ReportDelay, [this, At, To, Body = Sent->Body] {
      this->decide(To, [&](EngineLoadPlugin &Loads, Actions &More) {
        Loads.handle(PeerMessageReceived{PeerMessage{
                         hostName(At), Incarnation(At + 1), Body}},
                     this->Queue.now(), More);
      });
    });
  }
  this->wake(At);
}

void AdmissionReplay::wake(std::size_t At) {
  Host &Waking = *this->Hosts[At];
  const Time Next = std::max(Waking.Loads.nextWake(), this->Queue.now());
  if (Next == Never || Next >= Waking.WakeAt)
    return;
  Waking.WakeAt = Next;
  this->Queue.at(Next, [this, At, Next] {
    if (this->Hosts[At]->WakeAt != Next)
      return;
    this->Hosts[At]->WakeAt = Never;
    this->decide(At, [&](EngineLoadPlugin &Loads, Actions &Out) {
      Loads.handle(Tick{}, this->Queue.now(), Out);
    });
  });
}

void AdmissionReplay::scheduleArrivals() {
  const Duration Length = Lead + this->Setup.BurstFor + Trail;
  std::uint64_t Id = 0;
  for (std::size_t Index = 0; Index < this->Setup.Kinds.size(); ++Index) {
    const ReplayKind &Kind = this->Setup.Kinds[Index];
    std::lognormal_distribution<double> Sizes(
        std::log(Kind.MeanTokens) - Kind.Sigma * Kind.Sigma / 2, Kind.Sigma);
    Duration At{};
    while (At < Length) {
      const bool InBurst = Index == this->Setup.BurstKind && At >= Lead &&
                           At < Lead + this->Setup.BurstFor;
      const double Rate =
          Kind.PerSecond * (InBurst ? this->Setup.BurstFactor : 1);
      At += fromSeconds(
          std::exponential_distribution<double>(Rate)(this->Numbers));
      Caller Origin;
      Origin.Kind = Index;
      Origin.Tokens = std::clamp<std::uint64_t>(
          static_cast<std::uint64_t>(Sizes(this->Numbers)), 100, 1'000'000);
      Origin.FirstArrivedAt = this->Queue.now() + At;
      const std::uint64_t New = ++Id;
      this->Callers[New] = Origin;
      this->Queue.at(Origin.FirstArrivedAt, [this, New] { this->arrive(New); });
    }
  }
}

std::array<ReplayCount, 3> AdmissionReplay::run() {
  this->scheduleArrivals();
  const Time Start = this->Queue.now();
  if (this->Setup.FailingShare > 0) {
    const Time FailAt = Start + Lead + this->Setup.BurstFor / 2;
    this->Queue.at(FailAt, [this] { this->failEngines(true); });
    this->Queue.at(FailAt + FailingFor, [this] { this->failEngines(false); });
  }
  this->Queue.runUntil(Start + Lead + this->Setup.BurstFor + Trail + Drain);
  this->countLargest();
  return this->Counts;
}

void AdmissionReplay::countLargest() {
  for (std::size_t Kind = 0; Kind < this->Counts.size(); ++Kind) {
    std::vector<std::pair<std::uint64_t, std::uint64_t>> Sizes;
    for (const auto &[Id, Origin] : this->Callers)
      if (Origin.Kind == Kind)
        Sizes.emplace_back(Origin.Tokens, Id);
    std::ranges::sort(Sizes, std::greater());
    this->Counts[Kind].LargestSent = Sizes.size() / 10;
    for (std::size_t At = 0; At < Sizes.size() / 10; ++At)
      this->Counts[Kind].LargestServed += this->Served.count(Sizes[At].second);
  }
}

void AdmissionReplay::arrive(std::uint64_t Id) {
  Caller &Origin = this->Callers[Id];
  const ReplayKind &Kind = this->kindOf(Origin);
  Origin.ArrivedAt = this->Queue.now();
  Origin.At = this->Numbers() % this->Hosts.size();
  if (!Origin.HasRetried) {
    ReplayCount &Count = this->Counts[Origin.Kind];
    ++Count.Sent;
    Count.MaxValue +=
        Kind.Weight *
        (0.3 + 0.7 * static_cast<double>(Origin.Tokens) / Kind.MeanTokens);
  }
  const Duration Patience =
      std::max<Duration>(Kind.Objective * PatienceFactor, MinPatience);
  this->Queue.after(Patience, [this, Id, Arrived = Origin.ArrivedAt] {
    Caller &Waiting = this->Callers[Id];
    if (!Waiting.Began && Waiting.ArrivedAt == Arrived)
      this->finish(Id, &ReplayCount::GaveUp);
  });
  this->select(Id);
}

void AdmissionReplay::selectAgain(std::uint64_t Id, Duration After) {
  const std::uint64_t Poll = ++this->Callers[Id].Polls;
  this->Queue.after(After, [this, Id, Poll] {
    if (this->Callers[Id].Polls == Poll && !this->Callers[Id].IsFinished)
      this->select(Id);
  });
}

void AdmissionReplay::select(std::uint64_t Id) {
  Caller &Origin = this->Callers[Id];
  const ReplayKind &Kind = this->kindOf(Origin);
  const Time Now = this->Queue.now();
  EngineRequirements Needed;
  Needed.Request = RequestId(Id);
  Needed.Service = Service;
  Needed.PromptTokens = Origin.Tokens;
  Needed.OutputTokens = Kind.AnswerTokens;
  Needed.Objective = Kind.Objective;
  Needed.MaxEventGap = Kind.MaxEventGap;
  Needed.Waited = Now - Origin.ArrivedAt;
  Needed.Left = Origin.FirstArrivedAt + Kind.TimeLimit - Now;
  Needed.MayRetryLater = !Origin.HasRetried && Origin.Sends == 0;
  Needed.Excluded = Origin.Failed;
  EngineChoice Choice = NoEngine{};
  this->decide(Origin.At, [&](EngineLoadPlugin &Loads, Actions &) {
    Choice = Loads.choose(Needed, Now);
  });
  if (const auto *Chosen = std::get_if<SelectedEngine>(&Choice))
    return this->send(Id, *Chosen);
  if (const auto *Turn = std::get_if<AwaitTurn>(&Choice))
    return this->selectAgain(Id, Turn->CheckAfter);
  const auto *Refusal = std::get_if<RetryLater>(&Choice);
  if (!Refusal)
    return this->selectAgain(Id, milliseconds(20));
  const bool MayReturn = !Origin.HasRetried && Refusal->After < Needed.Left;
  if (!MayReturn)
    return this->finish(Id, &ReplayCount::Refused);
  Origin.HasRetried = true;
  Origin.ArrivedAt = Never;
  ++Origin.Polls;
  this->Queue.after(Refusal->After, [this, Id] { this->arrive(Id); });
}

void AdmissionReplay::send(std::uint64_t Id, const SelectedEngine &Chosen) {
  Caller &Origin = this->Callers[Id];
  const Time Now = this->Queue.now();
  RelayAttempt Attempt;
  Attempt.Id = {Incarnation(Origin.At + 1), Id * 10 + ++Origin.Sends};
  Attempt.Request = RequestId(Id);
  Attempt.Engine = Chosen.Engine;
  Attempt.Service = Service;
  Attempt.Helpers = Chosen.Helpers;
  Attempt.PromptTokens = Origin.Tokens;
  Attempt.OutputTokens = this->kindOf(Origin).AnswerTokens;
  Attempt.Predicted = Chosen.Predicted;
  Attempt.SentAt = Now;
  Attempt.MaxEventGap = this->kindOf(Origin).MaxEventGap;
  Origin.Attempt = Attempt;
  this->decide(Origin.At, [&](EngineLoadPlugin &Loads, Actions &Out) {
    Loads.attemptSent(Attempt, Now, Out);
  });
  this->Queue.after(EngineDelay, [this, Id, Send = Origin.Sends] {
    if (this->Callers[Id].Attempt && this->Callers[Id].Sends == Send)
      this->submit(Id);
  });
}

bool AdmissionReplay::reserveAll(std::uint64_t Id) {
  Caller &Origin = this->Callers[Id];
  bool Had = true;
  for (const HelperEngine &Helper : Origin.Attempt->Helpers) {
    const std::size_t At = this->indexOf(Helper.Engine);
    if (Helper.Tokens == 0 || this->Engines[At].reserve(Id, Helper.Tokens))
      continue;
    Had = false;
    this->Hosts[Origin.At]->Loads.memoryRefused(Helper.Engine,
                                                this->Queue.now());
  }
  return Had;
}

void AdmissionReplay::submit(std::uint64_t Id) {
  Caller &Origin = this->Callers[Id];
  const RelayAttempt Attempt = *Origin.Attempt;
  std::vector<std::size_t> Used = {this->indexOf(Attempt.Engine)};
  for (const HelperEngine &Helper : Attempt.Helpers)
    if (Helper.Engine != Attempt.Engine)
      Used.push_back(this->indexOf(Helper.Engine));
  for (const std::size_t At : Used)
    if (this->Failing.contains(At)) {
      this->AvoidedFrom.try_emplace(this->Listed[At]->Record.Id,
                                    this->Queue.now() + AvoidedAfter);
      Origin.Failed.push_back(this->Listed[At]->Record.Id);
      return this->breakAttempt(Id);
    }
  if (!this->reserveAll(Id)) {
    this->endAttempt(Id, RelayNeverSent{});
    return this->selectAgain(Id, EngineDelay);
  }
  const double WholeMs = prefillMs(this->Setup.Model, Origin.Tokens);
  const bool Reserves =
      !Attempt.Helpers.empty() && Attempt.Helpers.front().Tokens > 0;
  Origin.PartsLeft = Used.size();
  for (std::size_t Part = 0; Part < Used.size(); ++Part) {
    const std::uint32_t Urgency = Origin.Tokens > 20'000 ? 5 : 2;
    this->Engines[Used[Part]].add(
        {Id, WholeMs / static_cast<double>(Used.size()), WholeMs, Origin.Tokens,
         Attempt.OutputTokens, Urgency, Part > 0, Reserves});
    this->runPass(Used[Part]);
  }
}

void AdmissionReplay::runPass(std::size_t Engine) {
  ReplayEngine &Running = this->Engines[Engine];
  if (Running.inPass())
    return;
  const Duration Length = Running.startPass();
  if (!Running.inPass())
    return;
  const std::uint64_t Pass = ++this->Passes[Engine];
  this->Queue.after(Length, [this, Engine, Pass] {
    if (this->Passes[Engine] == Pass)
      this->passEnded(Engine);
  });
}

void AdmissionReplay::passEnded(std::size_t Engine) {
  const ReplayEngine::PassResult Result = this->Engines[Engine].finishPass();
  for (const std::uint64_t Id : Result.Events)
    this->Queue.after(EngineDelay, [this, Id] { this->eventReceived(Id); });
  for (const std::uint64_t Id : Result.Ended)
    this->Queue.after(EngineDelay, [this, Id] {
      Caller &Origin = this->Callers[Id];
      if (!Origin.IsFinished)
        this->finish(Id,
                     Origin.IsLate ? &ReplayCount::Late : &ReplayCount::InTime);
    });
  for (const std::uint64_t Id : Result.PartsDone) {
    Caller &Origin = this->Callers[Id];
    if (Origin.IsFinished || !Origin.Attempt)
      continue;
    if (!Origin.Began && --Origin.PartsLeft > 0)
      continue;
    const std::size_t Decoder = this->indexOf(Origin.Attempt->Engine);
    this->Engines[Decoder].startDecoding(Id);
    this->Queue.after(EngineDelay, [this, Id, Send = Origin.Sends] {
      if (this->Callers[Id].Sends == Send)
        this->began(Id);
    });
    this->runPass(Decoder);
  }
  this->runPass(Engine);
}

void AdmissionReplay::began(std::uint64_t Id) {
  Caller &Origin = this->Callers[Id];
  if (Origin.IsFinished || Origin.Began || !Origin.Attempt)
    return;
  const Time Now = this->Queue.now();
  Origin.Began = true;
  Origin.LastEventAt = Now;
  Origin.IsLate = Now - Origin.ArrivedAt > this->kindOf(Origin).Objective;
  this->decide(Origin.At, [&](EngineLoadPlugin &Loads, Actions &Out) {
    Loads.attemptBegan(*Origin.Attempt, Now, Out);
  });
}

void AdmissionReplay::eventReceived(std::uint64_t Id) {
  Caller &Origin = this->Callers[Id];
  if (Origin.IsFinished || !Origin.Began)
    return;
  const Duration Gap = this->Queue.now() - Origin.LastEventAt;
  const Duration Bound = this->kindOf(Origin).MaxEventGap;
  Origin.LastEventAt = this->Queue.now();
  Origin.IsLate = Origin.IsLate || Gap > Bound;
  if (Gap > Bound * LostGaps)
    this->finish(Id, &ReplayCount::GaveUp);
}

void AdmissionReplay::endAttempt(std::uint64_t Id,
                                 const RelayOutcome &Outcome) {
  Caller &Origin = this->Callers[Id];
  if (!Origin.Attempt)
    return;
  const RelayAttempt Ended = *Origin.Attempt;
  Origin.Attempt.reset();
  this->Engines[this->indexOf(Ended.Engine)].cancel(Id);
  for (const HelperEngine &Helper : Ended.Helpers)
    this->Engines[this->indexOf(Helper.Engine)].cancel(Id);
  this->decide(Origin.At, [&](EngineLoadPlugin &Loads, Actions &Out) {
    Loads.attemptEnded(Ended, Outcome, this->Queue.now(), Out);
  });
}

void AdmissionReplay::breakAttempt(std::uint64_t Id) {
  Caller &Origin = this->Callers[Id];
  this->endAttempt(Id, RelayBroken{});
  if (Origin.Began || Origin.Sends >= 3)
    return this->finish(Id, &ReplayCount::Lost);
  this->selectAgain(Id, EngineDelay);
}

void AdmissionReplay::finish(std::uint64_t Id,
                             std::size_t ReplayCount::*Outcome) {
  Caller &Origin = this->Callers[Id];
  if (std::exchange(Origin.IsFinished, true))
    return;
  this->endAttempt(Id, RelayNeverSent{});
  this->decide(Origin.At, [&](EngineLoadPlugin &Loads, Actions &) {
    Loads.forget(RequestId(Id), this->Queue.now());
  });
  ReplayCount &Count = this->Counts[Origin.Kind];
  ++(Count.*Outcome);
  const ReplayKind &Kind = this->kindOf(Origin);
  const double Full =
      Kind.Weight *
      (0.3 + 0.7 * static_cast<double>(Origin.Tokens) / Kind.MeanTokens);
  if (Outcome == &ReplayCount::InTime)
    Count.Value += Full;
  if (Outcome == &ReplayCount::Late)
    Count.Value += Full * LateCredit;
  if (Outcome == &ReplayCount::InTime || Outcome == &ReplayCount::Late)
    this->Served.insert(Id);
}

void AdmissionReplay::failEngines(bool On) {
  const auto Count = static_cast<std::size_t>(
      this->Setup.FailingShare * static_cast<double>(this->Engines.size()));
  this->Failing.clear();
  if (!On)
    return;
  for (std::size_t Index = 0; Index < Count; ++Index)
    this->Failing.insert(Index * this->Engines.size() / Count);
  for (const std::size_t At : this->Failing) {
    this->Engines[At].clear();
    ++this->Passes[At];
    if (this->Engines[At].inPass())
      this->Engines[At].finishPass();
  }
  for (auto &[Id, Origin] : this->Callers) {
    if (!Origin.Attempt)
      continue;
    bool Affected =
        this->Failing.contains(this->indexOf(Origin.Attempt->Engine));
    for (const HelperEngine &Helper : Origin.Attempt->Helpers)
      Affected =
          Affected || this->Failing.contains(this->indexOf(Helper.Engine));
    if (Affected)
      this->breakAttempt(Id);
  }
}

} // namespace banyanpick
