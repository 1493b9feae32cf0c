#include "plugins/engines/EngineTable.h"

#include "base/RendezvousHash.h"
#include "gateway/EngineIncarnation.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace banyanpick {

namespace {

/// Retention of an announcement. A leaving engine has ended long before.
constexpr hours LeavingTtl(1);

std::uint64_t digestOf(const EngineRecord &Record) {
  // The remaining cold time differs at each renewal and is left out.
  const std::string Fields =
      fmt::format("{} {}:{} {} {} {}{}", Record.Service.Value, Record.At.Ip,
                  Record.At.Port, Record.Zone.Value, Record.Slots,
                  Record.Draining, Record.isCold() ? " cold" : "");
  return rendezvousWeight(Record.Id.Value, Fields);
}

/// Returns whether the registration only renews the known one. The remaining
/// cold time differs at each renewal.
bool isRenewal(const EngineRecord &Known, const EngineRecord &Next) {
  EngineRecord Compared = Next;
  if (Known.isCold() == Next.isCold()) {
    Compared.ColdFor = Known.ColdFor;
    Compared.ColdUnreadable = Known.ColdUnreadable;
  }
  return Known == Compared;
}

const UpstreamId &idOf(const RegisteredEngine *Registered) {
  return Registered->Record.Id;
}

} // namespace

std::string_view name(EngineStanding Standing) {
  switch (Standing) {
  case EngineStanding::Usable:
    return "usable";
  case EngineStanding::Missing:
    return "missing";
  case EngineStanding::Leaving:
    return "leaving";
  }
  return "unknown";
}

EngineTable::Applied EngineTable::apply(const EngineChange &Change,
                                        bool StoreSuspect, Time Now) {
  if (Change.Removed)
    return this->remove(Change, StoreSuspect, Now);
  const std::string_view EngineName = engineName(Change.Engine.Id);
  const std::uint64_t StartedMs = engineStartMs(Change.Engine.Id);
  const auto LastRemoval = this->Removals.find(EngineName);
  const bool WasRemoved = LastRemoval != this->Removals.end();
  if (WasRemoved && StartedMs < LastRemoval->second.StartedMs)
    return {};
  const bool IsRemoved =
      WasRemoved && LastRemoval->second.Offset >= Change.Offset;
  if (IsRemoved)
    LastRemoval->second.StartedMs = StartedMs;
  const auto Found = this->Engines.find(EngineName);
  if (Found == this->Engines.end())
    return IsRemoved ? Applied{} : this->add(Change, Now);
  RegisteredEngine &Registered = Found->second;
  const std::uint64_t KnownMs = engineStartMs(Registered.Record.Id);
  if (StartedMs < KnownMs ||
      (StartedMs == KnownMs && Registered.Offset >= Change.Offset))
    return {};
  if (StartedMs == KnownMs)
    return this->change(Registered, Change, Now);
  const UpstreamId Ended = Registered.Record.Id;
  this->erase(Found);
  if (IsRemoved)
    return {Effect::Removed, Ended, true};
  this->add(Change, Now);
  return {Effect::Changed, Ended, true, Change.Engine.isCold()};
}

EngineTable::Applied EngineTable::add(const EngineChange &Change, Time Now) {
  const Name EngineName(engineName(Change.Engine.Id));
  RegisteredEngine &Added = this->Engines[EngineName];
  Added.Record = Change.Engine;
  Added.Offset = Change.Offset;
  Added.ChangedAt = Change.Offset;
  Added.Standing = this->registeredStanding(Change.Engine);
  Added.Since = Now;
  Added.ColdUntil = Now + Change.Engine.ColdFor;
  Added.NameHash = rendezvousWeight("part", EngineName);
  this->addToIndex(Added);
  return {Effect::Changed, std::nullopt, false, Change.Engine.isCold()};
}

EngineTable::Applied EngineTable::change(RegisteredEngine &Registered,
                                         const EngineChange &Change, Time Now) {
  Registered.Offset = Change.Offset;
  // A leaving incarnation stays leaving.
  const EngineStanding Next = Registered.Standing == EngineStanding::Leaving
                                  ? EngineStanding::Leaving
                                  : this->registeredStanding(Change.Engine);
  const bool IsCold = Change.Engine.isCold();
  Registered.ColdUntil =
      std::max(Registered.ColdUntil, Now + Change.Engine.ColdFor);
  if (isRenewal(Registered.Record, Change.Engine) &&
      Registered.Standing == Next) {
    Registered.Record = Change.Engine;
    return {Effect::None, std::nullopt, false, IsCold};
  }
  this->removeFromIndex(Registered);
  Registered.Record = Change.Engine;
  Registered.ChangedAt = Change.Offset;
  this->setStanding(Registered, Next, Now);
  this->addToIndex(Registered);
  return {Effect::Changed, std::nullopt, false, IsCold};
}

EngineTable::Applied EngineTable::remove(const EngineChange &Change,
                                         bool StoreSuspect, Time Now) {
  const Name EngineName(engineName(Change.Engine.Id));
  const auto Found = this->Engines.find(EngineName);
  Removal &LastRemoval = this->noteRemoval(EngineName, Change.Offset, Now);
  if (Found == this->Engines.end() || Found->second.Offset >= Change.Offset)
    return {};
  RegisteredEngine &Registered = Found->second;
  if (StoreSuspect && Registered.Standing == EngineStanding::Usable) {
    Registered.Offset = Change.Offset;
    Registered.ChangedAt = Change.Offset;
    this->removeFromIndex(Registered);
    this->setStanding(Registered, EngineStanding::Missing, Now);
    this->addToIndex(Registered);
    return {Effect::Changed, std::nullopt};
  }
  if (StoreSuspect && Registered.Standing == EngineStanding::Missing) {
    Registered.Offset = Change.Offset;
    return {};
  }
  const UpstreamId Ended = Registered.Record.Id;
  LastRemoval.StartedMs = engineStartMs(Ended);
  this->erase(Found);
  return {Effect::Removed, Ended};
}

std::optional<UpstreamId>
EngineTable::noteIncarnation(const UpstreamId &Incarnation, Time Now) {
  const auto Found = this->Engines.find(engineName(Incarnation));
  if (Found == this->Engines.end())
    return std::nullopt;
  const UpstreamId CurrentId = Found->second.Record.Id;
  if (engineStartMs(Incarnation) <= engineStartMs(CurrentId))
    return std::nullopt;
  this->noteRemoval(Found->first, Found->second.Offset, Now).StartedMs =
      engineStartMs(Incarnation);
  this->erase(Found);
  return CurrentId;
}

std::vector<EngineChange>
EngineTable::missingFrom(std::span<const EngineChange> Listing,
                         LogOffset UpTo) const {
  std::set<std::string_view> Named;
  for (const EngineChange &Change : Listing)
    Named.insert(engineName(Change.Engine.Id));
  std::vector<EngineChange> Result;
  for (const auto &[EngineName, Entry] : this->Engines) {
    if (Named.contains(EngineName) || Entry.Offset >= UpTo)
      continue;
    EngineChange Gone;
    Gone.Engine = Entry.Record;
    Gone.Removed = true;
    // The next record has the offset UpTo and may restore the engine.
    Gone.Offset = UpTo - 1;
    Result.push_back(std::move(Gone));
  }
  return Result;
}

bool EngineTable::setLeaving(const UpstreamId &Id, Time Now) {
  const auto Found = this->Engines.find(engineName(Id));
  if (Found == this->Engines.end() || Found->second.Record.Id != Id ||
      Found->second.Standing == EngineStanding::Leaving)
    return false;
  if (Found->second.Standing == EngineStanding::Missing) {
    // The engine has no registration and no address, so expire() removes it
    // now. As a leaving engine it would stay forever, because its removal was
    // already processed.
    Found->second.Since = Now - this->Times.MissingFor;
    this->NextExpiry = Now;
    return false;
  }
  this->removeFromIndex(Found->second);
  this->setStanding(Found->second, EngineStanding::Leaving, Now);
  this->addToIndex(Found->second);
  return true;
}

bool EngineTable::noteLeaving(const UpstreamId &Id, Time Now) {
  std::erase_if(this->AnnouncedLeaving, [&](const auto &Entry) {
    return Now >= Entry.second + Duration(LeavingTtl);
  });
  this->AnnouncedLeaving.emplace(Id, Now);
  return this->setLeaving(Id, Now);
}

EngineStanding
EngineTable::registeredStanding(const EngineRecord &Record) const {
  const bool Leaves =
      Record.Draining || this->AnnouncedLeaving.contains(Record.Id);
  return Leaves ? EngineStanding::Leaving : EngineStanding::Usable;
}

std::vector<UpstreamId> EngineTable::expire(Time Now) {
  std::vector<UpstreamId> Gone;
  // Called at every event, but rarely due.
  if (Now >= this->NextExpiry)
    Gone = this->removeMissing(Now);
  if (Now >= this->NextForgetting)
    this->forgetRemovals(Now);
  return Gone;
}

std::vector<UpstreamId> EngineTable::removeMissing(Time Now) {
  std::vector<UpstreamId> Gone;
  this->NextExpiry = Never;
  for (const auto &[EngineName, Entry] : this->Engines) {
    if (Entry.Standing != EngineStanding::Missing)
      continue;
    const Time DueAt = Entry.Since + this->Times.MissingFor;
    if (Now >= DueAt)
      Gone.push_back(Entry.Record.Id);
    else
      this->NextExpiry = std::min(this->NextExpiry, DueAt);
  }
  for (const UpstreamId &Id : Gone) {
    const auto Found = this->Engines.find(engineName(Id));
    this->noteRemoval(Found->first, Found->second.Offset, Now).StartedMs =
        engineStartMs(Id);
    this->erase(Found);
  }
  return Gone;
}

void EngineTable::forgetRemovals(Time Now) {
  this->NextForgetting = Never;
  std::erase_if(this->Removals, [&](const auto &Entry) {
    const Time DueAt = Entry.second.RemovedAt + this->Times.KeepRemoved;
    const bool Due = Now >= DueAt;
    if (Due)
      this->ForgottenTo = std::max(this->ForgottenTo, Entry.second.Offset + 1);
    else
      this->NextForgetting = std::min(this->NextForgetting, DueAt);
    return Due;
  });
}

EngineTable::Removal &EngineTable::noteRemoval(const Name &EngineName,
                                               LogOffset Offset, Time Now) {
  Removal &LastRemoval = this->Removals[EngineName];
  LastRemoval.Offset = std::max(LastRemoval.Offset, Offset);
  LastRemoval.RemovedAt = Now;
  this->NextForgetting =
      std::min(this->NextForgetting, Now + this->Times.KeepRemoved);
  return LastRemoval;
}

const RegisteredEngine *EngineTable::find(const UpstreamId &Id) const {
  const auto Found = this->ById.find(Id);
  return Found == this->ById.end() ? nullptr : Found->second;
}

std::span<const RegisteredEngine *const>
EngineTable::ofService(const ServiceId &Service) const {
  const auto Found = this->ByService.find(Service);
  if (Found == this->ByService.end())
    return {};
  return Found->second;
}

std::vector<EngineChange> EngineTable::changesFrom(LogOffset From) const {
  std::vector<EngineChange> Result;
  for (const auto &[EngineName, Entry] : this->Engines)
    if (Entry.ChangedAt >= From)
      Result.push_back({Entry.Record, Entry.Standing == EngineStanding::Missing,
                        Entry.ChangedAt});
  for (const auto &[EngineName, Entry] : this->Removals) {
    if (Entry.Offset < From)
      continue;
    EngineChange Gone;
    Gone.Engine.Id = UpstreamId(EngineName);
    Gone.Removed = true;
    Gone.Offset = Entry.Offset;
    Result.push_back(std::move(Gone));
  }
  return Result;
}

void EngineTable::setStanding(RegisteredEngine &Registered, EngineStanding Next,
                              Time Now) {
  if (Registered.Standing == Next)
    return;
  Registered.Standing = Next;
  Registered.Since = Now;
  if (Next == EngineStanding::Missing)
    this->NextExpiry = std::min(this->NextExpiry, Now + this->Times.MissingFor);
}

void EngineTable::addToIndex(const RegisteredEngine &Registered) {
  std::vector<const RegisteredEngine *> &All =
      this->ByService[Registered.Record.Service];
  All.insert(std::ranges::lower_bound(All, Registered.Record.Id, {}, idOf),
             &Registered);
  this->ById[Registered.Record.Id] = &Registered;
  // The digest is a sum, so hosts need no common order.
  if (Registered.Standing != EngineStanding::Missing)
    this->Digest += digestOf(Registered.Record);
}

void EngineTable::removeFromIndex(const RegisteredEngine &Registered) {
  const auto Found = this->ByService.find(Registered.Record.Service);
  std::vector<const RegisteredEngine *> &All = Found->second;
  All.erase(std::ranges::lower_bound(All, Registered.Record.Id, {}, idOf));
  this->ById.erase(Registered.Record.Id);
  if (All.empty())
    this->ByService.erase(Found);
  if (Registered.Standing != EngineStanding::Missing)
    this->Digest -= digestOf(Registered.Record);
}

void EngineTable::erase(ByName::const_iterator Position) {
  this->removeFromIndex(Position->second);
  this->Engines.erase(Position);
}

} // namespace banyanpick
