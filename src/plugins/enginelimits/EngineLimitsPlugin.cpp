#include "plugins/enginelimits/EngineLimitsPlugin.h"

#include "base/EventNumbers.h"
#include "base/Milliseconds.h"
#include "base/RendezvousHash.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Lifetime of a lease; unused quota is returned afterwards. The time is longer
/// than the gap between two requests of a busy host, and short against the time
/// over which an engine counts its requests.
constexpr milliseconds LeaseTtl(400);

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
  this->Self = Context.self().Host;
  this->Settle = Values.span("engine_limits", "settle");
  Context.services().provide<EngineQuota>(*this);
  Context.services().list<RelayObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
}

void EngineLimitsPlugin::handle(const Event &Received, Time Now, Actions &Out) {
  this->reviewAllocators(Now, Out);
  match(
      Received,
      [&](const PeerMessageReceived &Incoming) {
        if (const auto *Message =
                std::get_if<EngineLimits>(&Incoming.Message.Body))
          this->takePeer(Incoming.Message.From, *Message, Now, Out);
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
    if (Entry.OwnAllocator)
      Result = std::min(Result, Entry.OwnAllocator->nextAllocation());
  }
  return Result;
}

// --- limits named by engines

void EngineLimitsPlugin::takeSignal(const EngineSignalsReceived &Answer,
                                    Time Now, Actions &Out) {
  const UpstreamId &Engine = Answer.Engine;
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
  const double PerSecond = this->isLimited(Engine)
                               ? *this->Engines[Engine].State.newest().PerSecond
                               : CautiousLimit;
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
  if (!Report.PerSecond) {
    Entry.Held.clear();
    Entry.OwnAllocator.reset();
    Entry.NextRequest = Never;
  } else if (Entry.OwnAllocator) {
    Entry.OwnAllocator->setRate(*Report.PerSecond, Now);
  } else {
    this->setAllocator(Engine, Entry, Now, Out);
  }
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

void EngineLimitsPlugin::sendReport(const UpstreamId &Engine,
                                    const LimitedEngine &Entry,
                                    std::span<const HostId> Hosts, Time Now) {
  for (const HostId &Host : Hosts)
    if (Host != this->Self)
      this->Outbox[Host].LimitReports.push_back(reportFor(Engine, Entry, Now));
}

EngineLimits::LimitReport
EngineLimitsPlugin::reportFor(const UpstreamId &Engine,
                              const LimitedEngine &Entry, Time Now) {
  const LimitReport &Report = Entry.State.newest();
  return {Engine, Report.PerSecond, inMilliseconds(Now - Report.At)};
}

void EngineLimitsPlugin::takePeer(const HostId &From,
                                  const EngineLimits &Message, Time Now,
                                  Actions &Out) {
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
        {Request.Engine, Request.Number, 0, inMilliseconds(*After)});
}

// --- quota for this host's requests

bool EngineLimitsPlugin::isLimited(const UpstreamId &Engine) const {
  const auto Found = this->Engines.find(Engine);
  return Found != this->Engines.end() && Found->second.State.isLimited();
}

bool EngineLimitsPlugin::hasQuota(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->Engines.find(Engine);
  return Found == this->Engines.end() || !Found->second.State.isLimited() ||
         Found->second.Held.count(Now) > 0;
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
  if (Found == this->Engines.end() || !Found->second.State.isLimited())
    return;
  Out.count(Found->second.Held.use(Now) ? "engine_room_used"
                                        : "engine_room_exceeded",
            Engine.Value);
  // A host that has used quota probably needs more.
  this->requestQuota(Engine, Now);
}

void EngineLimitsPlugin::engineRemoved(const UpstreamId &Id, Time Now,
                                       Actions &Out) {
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
  const double Burst = *Entry.State.newest().PerSecond * inSeconds(BurstTime);
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
      Entry.State.isLimited() && Now <= Entry.WantedAt + WantedFor;
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
    Message.LimitReports.push_back(reportFor(Engine, Entry, Now));
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
      Found != this->Engines.end() && Found->second.State.isLimited() &&
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
  Entry.Held.add(
      {Lease.Number, Lease.Count, Entry.RequestedAt + RequestTtl + LeaseTtl});
}

// --- allocation

HostId EngineLimitsPlugin::allocatorOf(const UpstreamId &Engine) const {
  HostId Best = this->Self;
  std::uint64_t MaxWeight = 0;
  for (const HostId &Host : this->Active->activeHosts()) {
    const std::uint64_t Weight = rendezvousWeight(Engine.Value, Host.Value);
    if (Weight <= MaxWeight)
      continue;
    MaxWeight = Weight;
    Best = Host;
  }
  return Best;
}

void EngineLimitsPlugin::reviewAllocators(Time Now, Actions &Out) {
  const auto Hosts = this->Active->activeHosts();
  if (std::ranges::equal(Hosts, this->Hosts))
    return;
  std::vector<HostId> Newcomers;
  std::ranges::set_difference(Hosts, this->Hosts,
                              std::back_inserter(Newcomers));
  this->Hosts.assign(Hosts.begin(), Hosts.end());
  this->HostsSince = Now;
  for (auto &[Engine, Entry] : this->Engines) {
    if (!Entry.State.isLimited())
      continue;
    // Hosts that were not active before may not know the limit, and one of them
    // may be the next allocator.
    if (Entry.OwnAllocator)
      this->sendReport(Engine, Entry, Newcomers, Now);
    this->setAllocator(Engine, Entry, Now, Out);
  }
}

void EngineLimitsPlugin::setAllocator(const UpstreamId &Engine,
                                      LimitedEngine &Entry, Time Now,
                                      Actions &Out) {
  const HostId Allocator = this->allocatorOf(Engine);
  if (Allocator == Entry.Allocator &&
      Entry.OwnAllocator.has_value() == (Allocator == this->Self))
    return;
  Entry.Allocator = Allocator;
  // Leases of the previous allocator expire; requests start anew.
  Entry.Held.clear();
  Entry.Number = 0;
  Entry.QuotaAt = Never;
  Entry.OwnAllocator.reset();
  if (Allocator != this->Self)
    return;
  // Other hosts may use the previous allocator until they know this one. Two
  // allocators at the same time would exceed the limit.
  const Time From = std::max(Now, this->HostsSince + this->Settle);
  Entry.OwnAllocator.emplace(*Entry.State.newest().PerSecond, From);
  Out.log(logEvent(events::EngineQuotaLeased)
              .with("engine", Engine.Value)
              .with("limit", *Entry.State.newest().PerSecond)
              .with("after_us", (From - Now).count())
              .with("active", this->Hosts.size())
              .build());
}

void EngineLimitsPlugin::allocate(const UpstreamId &Engine,
                                  LimitedEngine &Entry, Time Now,
                                  Actions &Out) {
  if (!Entry.OwnAllocator)
    return;
  for (const QuotaLease &Lease : Entry.OwnAllocator->allocate(Now)) {
    Out.count("engine_room_lent", Engine.Value);
    const EngineLimits::Lease Granted{Engine, Lease.Number, Lease.Count, 0};
    if (Lease.To == this->Self)
      this->takeLease(this->Self, Granted, Now);
    else
      this->Outbox[Lease.To].Leases.push_back(Granted);
  }
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
  };
}

namespace {

const PluginRegistration
    Registration({"engine_limits",
                  {"active_hosts", "engines", "membership"},
                  EngineLimitsPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineLimitsPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
