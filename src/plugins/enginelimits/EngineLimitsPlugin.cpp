#include "plugins/enginelimits/EngineLimitsPlugin.h"

#include "base/EventNumbers.h"
#include "base/Milliseconds.h"
#include "base/RendezvousHash.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Room lent is used within so long, or given back: longer than the pause
/// between two requests of a busy host, and short against the time in which an
/// engine's requests are counted.
constexpr milliseconds RoomKept(400);

/// An ask without an answer is repeated after so long, before it lapses.
constexpr milliseconds AskAgain(400);

/// Room is asked for while a request would have gone there so lately.
constexpr milliseconds WantedFor(600);

/// A limit that can't be read is taken for this one, when none is believed.
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

void EngineLimitsPlugin::handle(const Event &What, Time Now, Actions &Out) {
  this->reviewLenders(Now, Out);
  match(
      What,
      [&](const PeerMessageReceived &Is) {
        if (const auto *Told = std::get_if<EngineLimits>(&Is.Message.Body))
          this->takePeer(Is.Message.From, *Told, Now, Out);
      },
      [&](const GatewayEvent &Is) {
        if (const auto *Heard = std::get_if<EngineSignalsReceived>(&Is))
          this->hear(*Heard, Now, Out);
      },
      [](const auto &) {});
  for (auto &[Engine, Of] : this->Engines) {
    this->borrow(Engine, Of, Now, Out);
    this->allocate(Engine, Of, Now, Out);
    showHeld(Engine, Of, Now, Out);
  }
  this->send(Out);
}

Time EngineLimitsPlugin::nextWake() const {
  Time Result = Never;
  for (const auto &[Id, Of] : this->Engines) {
    Result = std::min({Result, Of.Held.nextExpiry(), Of.NextAsk});
    if (Of.Lends)
      Result = std::min(Result, Of.Lends->nextAllocation());
  }
  return Result;
}

// --- what engines say

void EngineLimitsPlugin::hear(const EngineSignalsReceived &Is, Time Now,
                              Actions &Out) {
  const UpstreamId &Engine = Is.Engine;
  match(
      Is.Signals.Limit, [](const LimitUnknown &) {},
      [&](const LimitNone &) {
        if (this->Engines.contains(Engine))
          this->believe(Engine, {std::nullopt, Is.SentAt}, this->Self, Now,
                        Out);
      },
      [&](const LimitDeclared &Each) {
        this->believe(Engine, {Each.PerSecond, Now}, this->Self, Now, Out);
        const auto Known = this->Engines.find(Engine);
        if (Known != this->Engines.end())
          Known->second.IsUnreadable = false;
      },
      [&](const LimitUnreadable &) { this->hearUnreadable(Engine, Now, Out); });
}

void EngineLimitsPlugin::hearUnreadable(const UpstreamId &Engine, Time Now,
                                        Actions &Out) {
  // The engine is in need all the same: what was believed stays.
  const double PerSecond =
      this->isLimited(Engine) ? *this->Engines[Engine].Belief.newest().PerSecond
                              : CautiousLimit;
  Out.count("engine_limits_unreadable", Engine.Value);
  this->believe(Engine, {PerSecond, Now}, this->Self, Now, Out);
  const auto Found = this->Engines.find(Engine);
  if (Found == this->Engines.end() ||
      std::exchange(Found->second.IsUnreadable, true))
    return;
  Out.log(logEvent(events::EngineLimitUnreadable)
              .with("engine", Engine.Value)
              .with("taken_as", PerSecond)
              .build());
}

void EngineLimitsPlugin::believe(const UpstreamId &Engine,
                                 const LimitReport &Word, const HostId &From,
                                 Time Now, Actions &Out) {
  // An engine that is gone names nothing any more.
  if (!this->Directory->find(Engine))
    return;
  Limited &Of = this->Engines[Engine];
  const std::optional<double> Before = Of.Belief.newest().PerSecond;
  if (!Of.Belief.take(Word))
    return;
  if (!Word.PerSecond) {
    Of.Held.clear();
    Of.Lends.reset();
    Of.NextAsk = Never;
  } else if (Of.Lends) {
    Of.Lends->setRate(*Word.PerSecond, Now);
  } else {
    this->setLender(Engine, Of, Now, Out);
  }
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge,
                            "engine_limit_per_second", Engine.Value,
                            Word.PerSecond.value_or(-1)});
  Out.log(logEvent(events::EngineLimitChanged)
              .with("engine", Engine.Value)
              .with("limit", Word.PerSecond.value_or(-1))
              .with("before", Before.value_or(-1))
              .with("from", From.Value)
              .with("age_us", (Now - Word.At).count())
              .with("lender", Of.Lender.Value)
              .build());
  if (From == this->Self)
    this->tell(Engine, Of, this->Active->activeHosts(), Now);
}

void EngineLimitsPlugin::tell(const UpstreamId &Engine, const Limited &Of,
                              std::span<const HostId> Hosts, Time Now) {
  for (const HostId &Each : Hosts)
    if (Each != this->Self)
      this->Outbox[Each].LimitReports.push_back(wordFor(Engine, Of, Now));
}

EngineLimits::LimitReport EngineLimitsPlugin::wordFor(const UpstreamId &Engine,
                                                      const Limited &Of,
                                                      Time Now) {
  const LimitReport &Newest = Of.Belief.newest();
  return {Engine, Newest.PerSecond, inMilliseconds(Now - Newest.At)};
}

void EngineLimitsPlugin::takePeer(const HostId &From, const EngineLimits &Told,
                                  Time Now, Actions &Out) {
  for (const EngineLimits::LimitReport &Each : Told.LimitReports)
    this->believe(Each.Engine,
                  {Each.PerSecond, Now - fromMilliseconds(Each.AgeMs)}, From,
                  Now, Out);
  for (const EngineLimits::Lease &Each : Told.Leases)
    this->takeLoan(From, Each, Now);
  for (const EngineLimits::Return &Each : Told.Returns) {
    const auto Found = this->Engines.find(Each.Engine);
    if (Found != this->Engines.end() && Found->second.Lends)
      Found->second.Lends->returnUnused(From, Each.Number, Each.Count, Now);
  }
  for (const EngineLimits::LeaseRequest &Each : Told.LeaseRequests)
    this->takeAsk(From, Each, Now, Out);
}

void EngineLimitsPlugin::takeAsk(const HostId &From,
                                 const EngineLimits::LeaseRequest &Is, Time Now,
                                 Actions &Out) {
  const auto Found = this->Engines.find(Is.Engine);
  if (Found == this->Engines.end())
    return;
  Limited &Of = Found->second;
  if (!Of.Lends) {
    // It may have missed that the limit has ended, and would ask in vain.
    this->tell(Is.Engine, Of, {&From, 1}, Now);
    return;
  }
  Of.Lends->request(From, Is.Number, Is.Count, Now);
  this->allocate(Is.Engine, Of, Now, Out);
  if (const auto After = Of.Lends->waitOf(From, Now))
    this->Outbox[From].Leases.push_back(
        {Is.Engine, Is.Number, 0, inMilliseconds(*After)});
}

// --- room for this host's requests

bool EngineLimitsPlugin::isLimited(const UpstreamId &Engine) const {
  const auto Found = this->Engines.find(Engine);
  return Found != this->Engines.end() && Found->second.Belief.isLimited();
}

bool EngineLimitsPlugin::hasQuota(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->Engines.find(Engine);
  return Found == this->Engines.end() || !Found->second.Belief.isLimited() ||
         Found->second.Held.count(Now) > 0;
}

void EngineLimitsPlugin::requestQuota(const UpstreamId &Engine, Time Now) {
  const auto Found = this->Engines.find(Engine);
  if (Found == this->Engines.end())
    return;
  Found->second.WantedAt = Now;
  if (Found->second.NextAsk == Never)
    Found->second.NextAsk = Now;
}

std::optional<Duration>
EngineLimitsPlugin::quotaAvailableAfter(const UpstreamId &Engine,
                                        Time Now) const {
  const auto Found = this->Engines.find(Engine);
  if (Found == this->Engines.end() || Found->second.RoomAt == Never)
    return std::nullopt;
  return std::max(Duration(0), Found->second.RoomAt - Now);
}

void EngineLimitsPlugin::attemptSent(const RelayAttempt &Each, Time Now,
                                     Actions &Out) {
  if (this->Engines.empty())
    return;
  this->countUse(Each.Engine, Now, Out);
  // A helper reads a part of the prompt, which is a request to it, too.
  for (const HelperEngine &Helper : Each.Helpers)
    if (Helper.Engine != Each.Engine)
      this->countUse(Helper.Engine, Now, Out);
}

void EngineLimitsPlugin::countUse(const UpstreamId &Engine, Time Now,
                                  Actions &Out) {
  const auto Found = this->Engines.find(Engine);
  if (Found == this->Engines.end() || !Found->second.Belief.isLimited())
    return;
  Out.count(Found->second.Held.use(Now) ? "engine_room_used"
                                        : "engine_room_exceeded",
            Engine.Value);
  // Whoever has used room is likely to want more.
  this->requestQuota(Engine, Now);
}

void EngineLimitsPlugin::engineRemoved(const UpstreamId &Id, Time Now,
                                       Actions &Out) {
  const auto Found = this->Engines.find(Id);
  if (Found == this->Engines.end())
    return;
  if (Found->second.Belief.isLimited())
    Out.log(
        logEvent(events::EngineLimitChanged)
            .with("engine", Id.Value)
            .with("limit", -1)
            .with("before", *Found->second.Belief.newest().PerSecond)
            .with("from", "registry")
            .with("age_us", (Now - Found->second.Belief.newest().At).count())
            .with("lender", Found->second.Lender.Value)
            .build());
  this->Engines.erase(Found);
}

std::uint32_t EngineLimitsPlugin::mostHeld(const Limited &Of) {
  const double Burst = *Of.Belief.newest().PerSecond * inSeconds(BurstTime);
  return 1 + static_cast<std::uint32_t>(Burst);
}

void EngineLimitsPlugin::borrow(const UpstreamId &Engine, Limited &Of, Time Now,
                                Actions &Out) {
  for (const HeldLease &Each : Of.Held.takeExpired(Now)) {
    Out.count("engine_room_unused", Engine.Value);
    this->returnUnused(Engine, Of, Each, Now);
  }
  if (Now < Of.NextAsk)
    return;
  Of.NextAsk = Never;
  Of.Number = 0;
  const bool IsWanted = Of.Belief.isLimited() && Now <= Of.WantedAt + WantedFor;
  if (IsWanted && Of.Held.count(Now) == 0)
    this->ask(Engine, Of, Now, Out);
}

void EngineLimitsPlugin::showHeld(const UpstreamId &Engine, Limited &Of,
                                  Time Now, Actions &Out) {
  const std::uint32_t Held = Of.Held.count(Now);
  if (std::exchange(Of.HeldShown, Held) != Held)
    Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge,
                              "engine_room_held", Engine.Value,
                              static_cast<double>(Held)});
}

void EngineLimitsPlugin::returnUnused(const UpstreamId &Engine, Limited &Of,
                                      const HeldLease &Unused, Time Now) {
  if (Of.Lends)
    Of.Lends->returnUnused(this->Self, Unused.Number, Unused.Count, Now);
  else
    this->Outbox[Of.Lender].Returns.push_back(
        {Engine, Unused.Number, Unused.Count});
}

void EngineLimitsPlugin::ask(const UpstreamId &Engine, Limited &Of, Time Now,
                             Actions &Out) {
  Of.AskedAt = Now;
  Of.NextAsk = Now + AskAgain;
  Of.Number = ++this->Asks;
  if (!Of.Lends) {
    EngineLimits &To = this->Outbox[Of.Lender];
    To.LimitReports.push_back(wordFor(Engine, Of, Now));
    To.LeaseRequests.push_back({Engine, Of.Number, mostHeld(Of)});
    return;
  }
  Of.Lends->request(this->Self, Of.Number, mostHeld(Of), Now);
  this->allocate(Engine, Of, Now, Out);
  if (const auto After = Of.Lends->waitOf(this->Self, Now))
    Of.RoomAt = Now + *After;
}

void EngineLimitsPlugin::takeLoan(const HostId &From,
                                  const EngineLimits::Lease &Is, Time Now) {
  const auto Found = this->Engines.find(Is.Engine);
  // Only an answer to the newest ask counts, and that of the lender: an earlier
  // lender's loan might exceed what its successor lends.
  const bool IsAwaited =
      Found != this->Engines.end() && Found->second.Belief.isLimited() &&
      Found->second.Lender == From && Found->second.Number == Is.Number;
  if (!IsAwaited) {
    if (Is.Count > 0 && From != this->Self)
      this->Outbox[From].Returns.push_back({Is.Engine, Is.Number, Is.Count});
    return;
  }
  Limited &Of = Found->second;
  if (Is.Count == 0) {
    Of.RoomAt = Now + fromMilliseconds(Is.RetryAfterMs);
    return;
  }
  Of.Number = 0;
  Of.NextAsk = Never;
  Of.RoomAt = Never;
  Of.Held.add({Is.Number, Is.Count, Of.AskedAt + RequestTtl + RoomKept});
}

// --- lending

HostId EngineLimitsPlugin::lenderOf(const UpstreamId &Engine) const {
  HostId Best = this->Self;
  std::uint64_t Most = 0;
  for (const HostId &Each : this->Active->activeHosts()) {
    const std::uint64_t Weight = rendezvousWeight(Engine.Value, Each.Value);
    if (Weight <= Most)
      continue;
    Most = Weight;
    Best = Each;
  }
  return Best;
}

void EngineLimitsPlugin::reviewLenders(Time Now, Actions &Out) {
  const auto Hosts = this->Active->activeHosts();
  if (std::ranges::equal(Hosts, this->Hosts))
    return;
  std::vector<HostId> Newcomers;
  std::ranges::set_difference(Hosts, this->Hosts,
                              std::back_inserter(Newcomers));
  this->Hosts.assign(Hosts.begin(), Hosts.end());
  this->HostsSince = Now;
  for (auto &[Engine, Of] : this->Engines) {
    if (!Of.Belief.isLimited())
      continue;
    // Those that did not decide before may not know, and one of them may be the
    // next lender.
    if (Of.Lends)
      this->tell(Engine, Of, Newcomers, Now);
    this->setLender(Engine, Of, Now, Out);
  }
}

void EngineLimitsPlugin::setLender(const UpstreamId &Engine, Limited &Of,
                                   Time Now, Actions &Out) {
  const HostId Lender = this->lenderOf(Engine);
  if (Lender == Of.Lender && Of.Lends.has_value() == (Lender == this->Self))
    return;
  Of.Lender = Lender;
  // What the one before lent lapses; asks begin anew.
  Of.Held.clear();
  Of.Number = 0;
  Of.RoomAt = Never;
  Of.Lends.reset();
  if (Lender != this->Self)
    return;
  // Others may take an earlier host for the lender until they know of this one;
  // two that lend at once would lend too much.
  const Time From = std::max(Now, this->HostsSince + this->Settle);
  Of.Lends.emplace(*Of.Belief.newest().PerSecond, From);
  Out.log(logEvent(events::EngineQuotaLeased)
              .with("engine", Engine.Value)
              .with("limit", *Of.Belief.newest().PerSecond)
              .with("after_us", (From - Now).count())
              .with("active", this->Hosts.size())
              .build());
}

void EngineLimitsPlugin::allocate(const UpstreamId &Engine, Limited &Of,
                                  Time Now, Actions &Out) {
  if (!Of.Lends)
    return;
  for (const QuotaLease &Each : Of.Lends->allocate(Now)) {
    Out.count("engine_room_lent", Engine.Value);
    const EngineLimits::Lease Lease{Engine, Each.Number, Each.Count, 0};
    if (Each.To == this->Self)
      this->takeLoan(this->Self, Lease, Now);
    else
      this->Outbox[Each.To].Leases.push_back(Lease);
  }
}

void EngineLimitsPlugin::send(Actions &Out) {
  for (auto &[Host, Message] : std::exchange(this->Outbox, {}))
    Out.add(SendToPeer{Host, std::move(Message)});
}

void EngineLimitsPlugin::checkInvariants(InvariantMonitor &Monitor,
                                         Time) const {
  for (const auto &[Engine, Of] : this->Engines)
    Monitor.require(!Of.Lends || Of.Lender == this->Self,
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
