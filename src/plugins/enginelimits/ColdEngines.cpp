/// \file
/// The part of the engine limits that concerns cold engines.
#include "base/EventNumbers.h"
#include "base/Milliseconds.h"
#include "base/Visitor.h"
#include "kernel/HostShare.h"
#include "plugins/enginelimits/EngineLimitsPlugin.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

/// Length of the window in which a cold engine's requests are counted.
constexpr seconds ColdWindow(1);

/// Allowance for the time from sending a request to its arrival.
constexpr milliseconds TransitMargin(100);

/// Time from the first news that an engine in use turned cold to its first
/// lease: the window, and the time in which the other hosts hear of it.
constexpr Duration TurnWait = ColdWindow + TransitMargin;

} // namespace

bool EngineLimitsPlugin::isCold(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->Engines.find(Engine);
  return Found != this->Engines.end() && Found->second.Cold.isCold(Now);
}

const ServiceEntry *
EngineLimitsPlugin::serviceOf(const UpstreamId &Engine) const {
  const RegisteredEngine *Registered = this->Directory->find(Engine);
  const RouteTable *Routes = this->Declared->routes();
  return Registered && Routes ? Routes->service(Registered->Record.Service)
                              : nullptr;
}

void EngineLimitsPlugin::engineCold(const EngineRecord &Record, bool WasWarm,
                                    Time Now, Actions &Out) {
  if (Record.ColdUnreadable)
    this->takeUnreadableCold(Record.Id, Record.Service, "registration", Now,
                             Out);
  else
    this->takeCold(Record.Id, Record.ColdFor, WasWarm, this->Self, Now, Out);
}

void EngineLimitsPlugin::takeColdSignal(const EngineSignalsReceived &Answer,
                                        Time Now, Actions &Out) {
  match(
      Answer.Signals.Cold, [](const NotCold &) {},
      [&](const ColdDeclared &Cold) {
        this->takeCold(Answer.Engine, Cold.For, true, this->Self, Now, Out);
      },
      [&](const ColdUnreadable &Cold) {
        if (const RegisteredEngine *Registered =
                this->Directory->find(Answer.Engine))
          this->takeUnreadableCold(Answer.Engine, Registered->Record.Service,
                                   Cold.Text, Now, Out);
      });
}

void EngineLimitsPlugin::takeUnreadableCold(const UpstreamId &Engine,
                                            const ServiceId &Service,
                                            std::string_view Text, Time Now,
                                            Actions &Out) {
  const RouteTable *Routes = this->Declared->routes();
  const ServiceEntry *Entry = Routes ? Routes->service(Service) : nullptr;
  const Duration For = Entry ? Entry->ColdStart : Duration(0);
  if (this->UnreadableCold.insert(Engine).second)
    Out.log(logEvent(events::ColdTimeUnreadable)
                .with("engine", Engine.Value)
                .with("said", Text)
                .with("taken_as_us", For.count())
                .build());
  // Whether it was in use is not known either, so the safe case is assumed.
  // Each further unreadable time starts the cold time again.
  this->takeCold(Engine, For, true, this->Self, Now, Out);
}

void EngineLimitsPlugin::takeCold(const UpstreamId &Engine, Duration For,
                                  bool TurnedCold, const HostId &From, Time Now,
                                  Actions &Out) {
  const ServiceEntry *Service = this->serviceOf(Engine);
  if (!Service || Service->ColdRequestsPerSecond <= 0 || For <= Duration(0))
    return;
  LimitedEngine &Entry = this->Engines[Engine];
  const bool WasCold = Entry.Cold.isCold(Now);
  if (!Entry.Cold.take(Service->ColdRequestsPerSecond, For, Now))
    return;
  if (!WasCold) {
    Entry.ColdQuotaFrom = TurnedCold ? Now + TurnWait : Now;
    Out.count("engines_turned_cold", Engine.Value);
    Out.log(logEvent(events::EngineCold)
                .with("engine", Engine.Value)
                .with("for_us", For.count())
                .with("limit", Service->ColdRequestsPerSecond)
                .with("was_in_use", TurnedCold ? "true" : "false")
                .with("from", From.Value)
                .build());
  }
  this->applyLimit(Engine, Entry, Now, Out);
  if (!WasCold && From == this->Self)
    this->sendReport(Engine, Entry, this->Active->activeHosts(), Now);
}

void EngineLimitsPlugin::endCold(Time Now, Actions &Out) {
  for (auto &[Engine, Entry] : this->Engines) {
    if (!Entry.IsCold || Entry.Cold.isCold(Now))
      continue;
    Out.log(logEvent(events::EngineWarm).with("engine", Engine.Value).build());
    this->applyLimit(Engine, Entry, Now, Out);
  }
}

void EngineLimitsPlugin::reviewConfiguration(Time Now, Actions &Out) {
  const RouteTable *Routes = this->Declared->routes();
  if (!Routes || Routes->version() == this->ConfigurationVersion)
    return;
  this->ConfigurationVersion = Routes->version();
  for (const auto &[Id, Service] : Routes->configuration().Services) {
    if (Service.ColdRequestsPerSecond <= 0)
      continue;
    for (const RegisteredEngine *Registered : this->Directory->ofService(Id))
      this->takeCold(Registered->Record.Id, Registered->ColdUntil - Now, false,
                     this->Self, Now, Out);
  }
}

bool EngineLimitsPlugin::seesMostHosts() const {
  const auto Peers = this->Members->peers();
  const auto Alive = static_cast<std::size_t>(
      std::ranges::count(Peers, MemberState::Alive, &Member::State));
  return 2 * (Alive + 1) > Peers.size() + 1;
}

GrantBound EngineLimitsPlugin::coldBound(const LimitedEngine &Entry) const {
  return {std::floor(Entry.Cold.perSecond() * this->ColdOvershoot +
                     this->ColdSlack),
          ColdWindow + LeaseTtl + TransitMargin};
}

double EngineLimitsPlugin::leaseRate(const LimitedEngine &Entry) const {
  if (!Entry.IsCold)
    return Entry.InForce->PerSecond;
  // Evenly spread leases keep the bound without reaching it.
  const GrantBound Bound = this->coldBound(Entry);
  return std::min(Entry.InForce->PerSecond,
                  std::max(0.0, Bound.MaxRequests - MinBurst) /
                      inSeconds(Bound.Length));
}

QuotaAllocator EngineLimitsPlugin::makeAllocator(const LimitedEngine &Entry,
                                                 Time From) const {
  if (!Entry.IsCold)
    return {this->leaseRate(Entry), From};
  return {this->leaseRate(Entry), From, this->coldBound(Entry)};
}

Time EngineLimitsPlugin::leaseEnd(const LimitedEngine &Entry,
                                  const EngineLimits::Lease &Lease) {
  // At a cold engine, requests are counted over a shorter time, so the lifetime
  // counts from the grant. The request was under way before it waited, so the
  // lease never ends later.
  if (Entry.IsCold)
    return Entry.RequestedAt + fromMilliseconds(Lease.WaitedMs) + LeaseTtl;
  return Entry.RequestedAt + RequestTtl + LeaseTtl;
}

// --- connections

std::uint32_t
EngineLimitsPlugin::maxConnections(const UpstreamId &Engine) const {
  const ServiceEntry *Service = this->serviceOf(Engine);
  if (!Service || Service->MaxConnections == 0)
    return 0;
  return connectionPart(Service->MaxConnections,
                        hostShare(*this->Members, *this->Active));
}

void EngineLimitsPlugin::attemptEnded(const RelayAttempt &Attempt,
                                      const RelayOutcome &, Time, Actions &) {
  this->Connections.end(Attempt);
}

void EngineLimitsPlugin::attemptCancelled(const RelayAttempt &Attempt, Time,
                                          Actions &) {
  this->Connections.end(Attempt);
}

} // namespace banyanpick
