#include "plugins/enginelimits/EngineLimitsPlugin.h"

#include "base/EventNumbers.h"
#include "base/Milliseconds.h"
#include "base/RendezvousHash.h"
#include "base/Visitor.h"
#include "kernel/HostShare.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Interval after which an unanswered request for quota is repeated. It ends
/// before the request expires at the allocator; see RequestTtl.
constexpr milliseconds RequestRetry(400);

/// How long quota is still requested after the last request for the engine.
constexpr milliseconds WantedFor(600);

/// Limit in requests a second that is assumed when a limit cannot be parsed and
/// none was known before.
constexpr double CautiousLimit = 1;

} // namespace

void EngineLimitsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Active = &Context.services().get<ActiveHostsView>();
  this->Members = &Context.services().get<MembershipView>();
  this->Declared = &Context.services().get<RouteView>();
  this->Self = Context.self().Host;
  this->Settle = Values.span("engine_limits", "settle");
  this->ColdOvershoot = Values.fraction("engine_limits", "cold_overshoot");
  this->ColdSlack = Values.fraction("engine_limits", "cold_slack");
  Context.services().provide<EngineQuota>(*this);
  Context.services().list<RelayObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
}

void EngineLimitsPlugin::handle(const Event &Received, Time Now, Actions &Out) {
  this->endCold(Now, Out);
  this->reviewConfiguration(Now, Out);
  this->reviewAllocators(Now, Out);
  match(
      Received,
      [&](const PeerMessageReceived &Incoming) {
        if (const auto *Message =
                std::get_if<EngineLimits>(&Incoming.Message.Body))
          this->takePeer(Incoming.Message.From, *Message, Now, Out);
        if (const auto *Work = std::get_if<EngineWork>(&Incoming.Message.Body))
          this->Connections.takePeer(Incoming.Message.From, Work->Items, Now);
      },
      [&](const GatewayEvent &Change) {
        if (const auto *Heard = std::get_if<EngineSignalsReceived>(&Change))
          this->takeSignal(*Heard, Now, Out);
      },
      [](const auto &) {});
  for (auto &[Engine, Entry] : this->Engines) {
    this->renewQuota(Engine, Entry, Now, Out);
    this->allocate(Engine, Entry, Now, Out);
    showHeld(Engine, Entry, Now, Out);
  }
  this->send(Out);
}

Time EngineLimitsPlugin::nextWake() const {
  Time Result = Never;
  for (const auto &[Id, Entry] : this->Engines) {
    Result = std::min({Result, Entry.Held.nextExpiry(), Entry.NextRequest});
    if (Entry.IsCold)
      Result = std::min(Result, Entry.Cold.until());
    if (Entry.OwnAllocator && (!Entry.IsCold || this->seesMostHosts()))
      Result = std::min(Result, Entry.OwnAllocator->nextAllocation());
  }
  return Result;
}

// --- limits named by engines

void EngineLimitsPlugin::takeSignal(const EngineSignalsReceived &Answer,
                                    Time Now, Actions &Out) {
  const UpstreamId &Engine = Answer.Engine;
  this->takeColdSignal(Answer, Now, Out);
  match(
      Answer.Signals.Limit, [](const LimitUnknown &) {},
      [&](const LimitNone &) {
        if (this->Engines.contains(Engine))
          this->updateLimit(Engine, {std::nullopt, Answer.SentAt}, this->Self,
                            Now, Out);
      },
      [&](const LimitDeclared &Limit) {
        this->updateLimit(Engine, {Limit.PerSecond, Now}, this->Self, Now, Out);
        const auto Found = this->Engines.find(Engine);
        if (Found != this->Engines.end())
          Found->second.IsUnreadable = false;
      },
      [&](const LimitUnreadable &) { this->takeUnreadable(Engine, Now, Out); });
}

void EngineLimitsPlugin::takeUnreadable(const UpstreamId &Engine, Time Now,
                                        Actions &Out) {
  // The engine is still limited, so the known limit stays.
  const auto Known = this->Engines.find(Engine);
  const bool IsKnown =
      Known != this->Engines.end() && Known->second.State.isLimited();
  const double PerSecond =
      IsKnown ? *Known->second.State.newest().PerSecond : CautiousLimit;
  Out.count("engine_limits_unreadable", Engine.Value);
  this->updateLimit(Engine, {PerSecond, Now}, this->Self, Now, Out);
  const auto Found = this->Engines.find(Engine);
  if (Found == this->Engines.end() ||
      std::exchange(Found->second.IsUnreadable, true))
    return;
  Out.log(logEvent(events::EngineLimitUnreadable)
              .with("engine", Engine.Value)
              .with("taken_as", PerSecond)
              .build());
}

void EngineLimitsPlugin::updateLimit(const UpstreamId &Engine,
                                     const LimitReport &Report,
                                     const HostId &From, Time Now,
                                     Actions &Out) {
  // Removed engines have no limit.
  if (!this->Directory->find(Engine))
    return;
  LimitedEngine &Entry = this->Engines[Engine];
  const std::optional<double> Before = Entry.State.newest().PerSecond;
  if (!Entry.State.take(Report))
    return;
  this->applyLimit(Engine, Entry, Now, Out);
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge,
                            "engine_limit_per_second", Engine.Value,
                            Report.PerSecond.value_or(-1)});
  Out.log(logEvent(events::EngineLimitChanged)
              .with("engine", Engine.Value)
              .with("limit", Report.PerSecond.value_or(-1))
              .with("before", Before.value_or(-1))
              .with("from", From.Value)
              .with("age_us", (Now - Report.At).count())
              .with("lender", Entry.Allocator.Value)
              .build());
  if (From == this->Self)
    this->sendReport(Engine, Entry, this->Active->activeHosts(), Now);
}

void EngineLimitsPlugin::applyLimit(const UpstreamId &Engine,
                                    LimitedEngine &Entry, Time Now,
                                    Actions &Out) {
  Entry.InForce = lowestLimit(Entry.State, Entry.Cold, Now);
  const bool IsCold = Entry.Cold.isCold(Now);
  const bool HasTurned = std::exchange(Entry.IsCold, IsCold) != IsCold;
  if (!Entry.InForce || HasTurned) {
    // Leases for the warm engine would exceed the rate of the cold one.
    Entry.Held.clear();
    Entry.OwnAllocator.reset();
    Entry.NextRequest = Never;
    Entry.Number = 0;
    Entry.QuotaAt = Never;
  }
  if (!Entry.InForce)
    return;
  if (Entry.OwnAllocator)
    Entry.OwnAllocator->setRate(this->leaseRate(Entry), Now);
  else
    this->setAllocator(Engine, Entry, Now, Out);
}

void EngineLimitsPlugin::sendReport(const UpstreamId &Engine,
                                    const LimitedEngine &Entry,
                                    std::span<const HostId> Hosts, Time Now) {
  for (const HostId &Host : Hosts)
    if (Host != this->Self)
      addReports(Engine, Entry, Now, this->Outbox[Host]);
}

void EngineLimitsPlugin::addReports(const UpstreamId &Engine,
                                    const LimitedEngine &Entry, Time Now,
                                    EngineLimits &To) {
  const LimitReport &Report = Entry.State.newest();
  if (Report.At != Time{})
    To.LimitReports.push_back(
        {Engine, Report.PerSecond, inMilliseconds(Now - Report.At)});
  const Duration ColdFor = Entry.Cold.left(Now);
  if (ColdFor > Duration(0))
    To.ColdReports.push_back(
        {Engine, inMilliseconds(ColdFor), Now < Entry.ColdQuotaFrom});
}

void EngineLimitsPlugin::takePeer(const HostId &From,
                                  const EngineLimits &Message, Time Now,
                                  Actions &Out) {
  for (const EngineLimits::ColdReport &Report : Message.ColdReports)
    this->takeCold(Report.Engine, fromMilliseconds(Report.LeftMs),
                   Report.TurnedCold, From, Now, Out);
  for (const EngineLimits::LimitReport &Report : Message.LimitReports)
    this->updateLimit(Report.Engine,
                      {Report.PerSecond, Now - fromMilliseconds(Report.AgeMs)},
                      From, Now, Out);
  for (const EngineLimits::Lease &Lease : Message.Leases)
    this->takeLease(From, Lease, Now);
  for (const EngineLimits::Return &Returned : Message.Returns) {
    const auto Found = this->Engines.find(Returned.Engine);
    if (Found != this->Engines.end() && Found->second.OwnAllocator)
      Found->second.OwnAllocator->returnUnused(From, Returned.Number,
                                               Returned.Count, Now);
  }
  for (const EngineLimits::LeaseRequest &Request : Message.LeaseRequests)
    this->takeRequest(From, Request, Now, Out);
}

void EngineLimitsPlugin::takeRequest(const HostId &From,
                                     const EngineLimits::LeaseRequest &Request,
                                     Time Now, Actions &Out) {
  const auto Found = this->Engines.find(Request.Engine);
  if (Found == this->Engines.end())
    return;
  LimitedEngine &Entry = Found->second;
  if (!Entry.OwnAllocator) {
    // The host may have missed the end of the limit, and would repeat its
    // request without effect.
    this->sendReport(Request.Engine, Entry, {&From, 1}, Now);
    return;
  }
  Entry.OwnAllocator->request(From, Request.Number, Request.Count, Now);
  this->allocate(Request.Engine, Entry, Now, Out);
  if (const auto After = Entry.OwnAllocator->waitOf(From, Now))
    this->Outbox[From].Leases.push_back(
        {Request.Engine, Request.Number, 0, inMilliseconds(*After), 0});
}

// --- quota for this host's requests

bool EngineLimitsPlugin::isLimited(const UpstreamId &Engine) const {
  const auto Found = this->Engines.find(Engine);
  return Found != this->Engines.end() && Found->second.InForce.has_value();
}

bool EngineLimitsPlugin::hasQuota(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->Engines.find(Engine);
  const bool HasLease = Found == this->Engines.end() ||
                        !Found->second.InForce ||
                        Found->second.Held.count(Now) > 0;
  if (!HasLease)
    return false;
  // Without requests at the engine, this host is within its part of the
  // connections, so the service need not be looked up.
  const ServiceId *Service = this->Connections.serviceOf(Engine);
  const RouteTable *Routes = Service ? this->Declared->routes() : nullptr;
  const ServiceEntry *Entry = Routes ? Routes->service(*Service) : nullptr;
  return !Entry ||
         this->Connections.mayOpen(Engine, Entry->MaxConnections,
                                   hostShare(*this->Members, *this->Active));
}

void EngineLimitsPlugin::requestQuota(const UpstreamId &Engine, Time Now) {
  const auto Found = this->Engines.find(Engine);
  if (Found == this->Engines.end())
    return;
  Found->second.WantedAt = Now;
  if (Found->second.NextRequest == Never)
    Found->second.NextRequest = Now;
}

std::optional<Duration>
EngineLimitsPlugin::quotaAvailableAfter(const UpstreamId &Engine,
                                        Time Now) const {
  const auto Found = this->Engines.find(Engine);
  if (Found == this->Engines.end() || Found->second.QuotaAt == Never)
    return std::nullopt;
  return std::max(Duration(0), Found->second.QuotaAt - Now);
}

void EngineLimitsPlugin::attemptSent(const RelayAttempt &Attempt, Time Now,
                                     Actions &Out) {
  this->Connections.begin(Attempt);
  if (this->Engines.empty())
    return;
  this->countUse(Attempt.Engine, Now, Out);
  // A helper prefills a part of the prompt, which is also a request to it.
  for (const HelperEngine &Helper : Attempt.Helpers)
    if (Helper.Engine != Attempt.Engine)
      this->countUse(Helper.Engine, Now, Out);
}

void EngineLimitsPlugin::countUse(const UpstreamId &Engine, Time Now,
                                  Actions &Out) {
  const auto Found = this->Engines.find(Engine);
  if (Found == this->Engines.end() || !Found->second.InForce)
    return;
  Out.count(Found->second.Held.use(Now) ? "engine_room_used"
                                        : "engine_room_exceeded",
            Engine.Value);
  // A host that has used quota probably needs more.
  this->requestQuota(Engine, Now);
}

void EngineLimitsPlugin::engineRemoved(const UpstreamId &Id, Time Now,
                                       Actions &Out) {
  this->UnreadableCold.erase(Id);
  const auto Found = this->Engines.find(Id);
  if (Found == this->Engines.end())
    return;
  if (Found->second.State.isLimited())
    Out.log(logEvent(events::EngineLimitChanged)
                .with("engine", Id.Value)
                .with("limit", -1)
                .with("before", *Found->second.State.newest().PerSecond)
                .with("from", "registry")
                .with("age_us", (Now - Found->second.State.newest().At).count())
                .with("lender", Found->second.Allocator.Value)
                .build());
  this->Engines.erase(Found);
}

std::uint32_t EngineLimitsPlugin::maxHeld(const LimitedEngine &Entry) {
  const double Burst = Entry.InForce->PerSecond * inSeconds(BurstTime);
  return 1 + static_cast<std::uint32_t>(Burst);
}

void EngineLimitsPlugin::renewQuota(const UpstreamId &Engine,
                                    LimitedEngine &Entry, Time Now,
                                    Actions &Out) {
  for (const HeldLease &Lease : Entry.Held.takeExpired(Now)) {
    Out.count("engine_room_unused", Engine.Value);
    this->returnUnused(Engine, Entry, Lease, Now);
  }
  if (Now < Entry.NextRequest)
    return;
  Entry.NextRequest = Never;
  Entry.Number = 0;
  const bool IsWanted =
      Entry.InForce.has_value() && Now <= Entry.WantedAt + WantedFor;
  if (IsWanted && Entry.Held.count(Now) == 0)
    this->requestQuota(Engine, Entry, Now, Out);
}

void EngineLimitsPlugin::showHeld(const UpstreamId &Engine,
                                  LimitedEngine &Entry, Time Now,
                                  Actions &Out) {
  const std::uint32_t Held = Entry.Held.count(Now);
  if (std::exchange(Entry.HeldShown, Held) != Held)
    Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge,
                              "engine_room_held", Engine.Value,
                              static_cast<double>(Held)});
}

void EngineLimitsPlugin::returnUnused(const UpstreamId &Engine,
                                      LimitedEngine &Entry,
                                      const HeldLease &Unused, Time Now) {
  if (Entry.OwnAllocator)
    Entry.OwnAllocator->returnUnused(this->Self, Unused.Number, Unused.Count,
                                     Now);
  else
    this->Outbox[Entry.Allocator].Returns.push_back(
        {Engine, Unused.Number, Unused.Count});
}

void EngineLimitsPlugin::requestQuota(const UpstreamId &Engine,
                                      LimitedEngine &Entry, Time Now,
                                      Actions &Out) {
  Entry.RequestedAt = Now;
  Entry.NextRequest = Now + RequestRetry;
  Entry.Number = ++this->Requests;
  if (!Entry.OwnAllocator) {
    EngineLimits &Message = this->Outbox[Entry.Allocator];
    addReports(Engine, Entry, Now, Message);
    Message.LeaseRequests.push_back({Engine, Entry.Number, maxHeld(Entry)});
    return;
  }
  Entry.OwnAllocator->request(this->Self, Entry.Number, maxHeld(Entry), Now);
  this->allocate(Engine, Entry, Now, Out);
  if (const auto After = Entry.OwnAllocator->waitOf(this->Self, Now))
    Entry.QuotaAt = Now + *After;
}

void EngineLimitsPlugin::takeLease(const HostId &From,
                                   const EngineLimits::Lease &Lease, Time Now) {
  const auto Found = this->Engines.find(Lease.Engine);
  // Only the current allocator's answer to the newest request counts. A lease
  // of an earlier allocator might exceed the quota of its successor.
  const bool IsExpected =
      Found != this->Engines.end() && Found->second.InForce.has_value() &&
      Found->second.Allocator == From && Found->second.Number == Lease.Number;
  if (!IsExpected) {
    if (Lease.Count > 0 && From != this->Self)
      this->Outbox[From].Returns.push_back(
          {Lease.Engine, Lease.Number, Lease.Count});
    return;
  }
  LimitedEngine &Entry = Found->second;
  if (Lease.Count == 0) {
    Entry.QuotaAt = Now + fromMilliseconds(Lease.RetryAfterMs);
    return;
  }
  Entry.Number = 0;
  Entry.NextRequest = Never;
  Entry.QuotaAt = Never;
  Entry.Held.add({Lease.Number, Lease.Count, leaseEnd(Entry, Lease)});
}

void EngineLimitsPlugin::send(Actions &Out) {
  for (auto &[Host, Message] : std::exchange(this->Outbox, {}))
    Out.add(SendToPeer{Host, std::move(Message)});
}

void EngineLimitsPlugin::checkInvariants(InvariantMonitor &Monitor,
                                         Time) const {
  for (const auto &[Engine, Entry] : this->Engines)
    Monitor.require(!Entry.OwnAllocator || Entry.Allocator == this->Self,
                    "only the lender lends room at an engine");
}

std::vector<SettingDeclaration> EngineLimitsPlugin::settings() {
  return {
      {"engine_limits", "settle", SettingKind::Span, "2s",
       "After the active hosts have changed, a host lends room at an engine "
       "that names a limit only after so long: by then all know that it is the "
       "one that lends.",
       0, 60e6},
      {"engine_limits", "cold_overshoot", SettingKind::Fraction, "1",
       "All hosts together send a cold engine in any second at most this many "
       "times what its service declares, and cold_slack more.",
       1, 100},
      {"engine_limits", "cold_slack", SettingKind::Fraction, "0",
       "Requests in any second beyond the rate of a cold engine.", 0, 1000},
  };
}

namespace {

const PluginRegistration
    Registration({"engine_limits",
                  {"active_hosts", "engines", "membership", "routes"},
                  EngineLimitsPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineLimitsPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
