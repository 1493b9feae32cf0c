/// \file
/// The part of the engine limits that decides which host leases an engine's
/// quota, and leases it.
#include "base/EventNumbers.h"
#include "base/Milliseconds.h"
#include "base/RendezvousHash.h"
#include "plugins/enginelimits/EngineLimitsPlugin.h"

#include <algorithm>

namespace banyanpick {

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
    if (!Entry.InForce)
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
  Time From = std::max(Now, this->HostsSince + this->Settle);
  if (Entry.IsCold)
    From = std::max(From, Entry.ColdQuotaFrom);
  Entry.OwnAllocator = this->makeAllocator(Entry, From);
  Out.log(logEvent(events::EngineQuotaLeased)
              .with("engine", Engine.Value)
              .with("limit", Entry.InForce->PerSecond)
              .with("after_us", (From - Now).count())
              .with("active", this->Hosts.size())
              .build());
}

void EngineLimitsPlugin::allocate(const UpstreamId &Engine,
                                  LimitedEngine &Entry, Time Now,
                                  Actions &Out) {
  if (!Entry.OwnAllocator || (Entry.IsCold && !this->seesMostHosts()))
    return;
  for (const QuotaLease &Lease : Entry.OwnAllocator->allocate(Now)) {
    Out.count("engine_room_lent", Engine.Value);
    const EngineLimits::Lease Granted{Engine, Lease.Number, Lease.Count, 0,
                                      inMilliseconds(Lease.Waited)};
    if (Lease.To == this->Self)
      this->takeLease(this->Self, Granted, Now);
    else
      this->Outbox[Lease.To].Leases.push_back(Granted);
  }
}

} // namespace banyanpick
