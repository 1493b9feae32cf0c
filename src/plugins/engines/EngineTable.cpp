#include "plugins/engines/EngineTable.h"

#include "base/RendezvousHash.h"
#include "gateway/EngineIncarnation.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace banyanpick {

namespace {

/// An engine that leaves has ended long before.
constexpr hours LeavingKept(1);

std::uint64_t digestOf(const EngineRecord &Of) {
  const std::string Rest =
      fmt::format("{} {}:{} {} {} {}", Of.Service.Value, Of.At.Ip, Of.At.Port,
                  Of.Zone.Value, Of.Slots, Of.Draining);
  return rendezvousWeight(Of.Id.Value, Rest);
}

const UpstreamId &idOf(const RegisteredEngine *Of) { return Of->Record.Id; }

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
                                        bool Doubtful, Time Now) {
  if (Change.Removed)
    return this->remove(Change, Doubtful, Now);
  const std::string_view Of = engineName(Change.Engine.Id);
  const std::uint64_t BornMs = engineStartMs(Change.Engine.Id);
  const auto Over = this->Removed.find(Of);
  const bool WasRemoved = Over != this->Removed.end();
  if (WasRemoved && BornMs < Over->second.BornMs)
    return {};
  const bool IsOver = WasRemoved && Over->second.Offset >= Change.Offset;
  if (IsOver)
    Over->second.BornMs = BornMs;
  const auto Found = this->Engines.find(Of);
  if (Found == this->Engines.end())
    return IsOver ? Applied{} : this->add(Change, Now);
  RegisteredEngine &Known = Found->second;
  const std::uint64_t KnownMs = engineStartMs(Known.Record.Id);
  if (BornMs < KnownMs || (BornMs == KnownMs && Known.Offset >= Change.Offset))
    return {};
  if (BornMs == KnownMs)
    return this->change(Known, Change, Now);
  const UpstreamId Ended = Known.Record.Id;
  this->erase(Found);
  if (IsOver)
    return {Effect::Removed, Ended, true};
  this->add(Change, Now);
  return {Effect::Changed, Ended, true};
}

EngineTable::Applied EngineTable::add(const EngineChange &Change, Time Now) {
  const Name Of(engineName(Change.Engine.Id));
  RegisteredEngine &Added = this->Engines[Of];
  Added.Record = Change.Engine;
  Added.Offset = Change.Offset;
  Added.ChangedAt = Change.Offset;
  Added.Standing = this->registeredStanding(Change.Engine);
  Added.Since = Now;
  Added.NameHash = rendezvousWeight("part", Of);
  this->include(Added);
  return {Effect::Changed, std::nullopt};
}

EngineTable::Applied EngineTable::change(RegisteredEngine &Of,
                                         const EngineChange &Change, Time Now) {
  Of.Offset = Change.Offset;
  // A life that is known to leave does not come back.
  const EngineStanding Next = Of.Standing == EngineStanding::Leaving
                                  ? EngineStanding::Leaving
                                  : this->registeredStanding(Change.Engine);
  if (Of.Record == Change.Engine && Of.Standing == Next)
    return {};
  this->exclude(Of);
  Of.Record = Change.Engine;
  Of.ChangedAt = Change.Offset;
  this->stand(Of, Next, Now);
  this->include(Of);
  return {Effect::Changed, std::nullopt};
}

EngineTable::Applied EngineTable::remove(const EngineChange &Change,
                                         bool Doubtful, Time Now) {
  const Name Of(engineName(Change.Engine.Id));
  const auto Found = this->Engines.find(Of);
  Removal &Over = this->noteRemoval(Of, Change.Offset, Now);
  if (Found == this->Engines.end() || Found->second.Offset >= Change.Offset)
    return {};
  RegisteredEngine &Known = Found->second;
  if (Doubtful && Known.Standing == EngineStanding::Usable) {
    Known.Offset = Change.Offset;
    Known.ChangedAt = Change.Offset;
    this->exclude(Known);
    this->stand(Known, EngineStanding::Missing, Now);
    this->include(Known);
    return {Effect::Changed, std::nullopt};
  }
  if (Doubtful && Known.Standing == EngineStanding::Missing) {
    Known.Offset = Change.Offset;
    return {};
  }
  const UpstreamId Ended = Known.Record.Id;
  Over.BornMs = engineStartMs(Ended);
  this->erase(Found);
  return {Effect::Removed, Ended};
}

std::optional<UpstreamId> EngineTable::noteIncarnation(const UpstreamId &Life,
                                                       Time Now) {
  const auto Found = this->Engines.find(engineName(Life));
  if (Found == this->Engines.end())
    return std::nullopt;
  const UpstreamId Known = Found->second.Record.Id;
  if (engineStartMs(Life) <= engineStartMs(Known))
    return std::nullopt;
  this->noteRemoval(Found->first, Found->second.Offset, Now).BornMs =
      engineStartMs(Life);
  this->erase(Found);
  return Known;
}

std::vector<EngineChange>
EngineTable::missingFrom(std::span<const EngineChange> Listing,
                         LogOffset UpTo) const {
  std::set<std::string_view> Named;
  for (const EngineChange &Each : Listing)
    Named.insert(engineName(Each.Engine.Id));
  std::vector<EngineChange> Result;
  for (const auto &[Of, Each] : this->Engines) {
    if (Named.contains(Of) || Each.Offset >= UpTo)
      continue;
    EngineChange Gone;
    Gone.Engine = Each.Record;
    Gone.Removed = true;
    // The next record has UpTo; it may bring the same upstream back.
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
    // No registration and no address: age() takes it away now. As one that
    // leaves it would stay for ever, since its removal was already told.
    Found->second.Since = Now - this->Times.MissingFor;
    this->NextAge = Now;
    return false;
  }
  this->exclude(Found->second);
  this->stand(Found->second, EngineStanding::Leaving, Now);
  this->include(Found->second);
  return true;
}

bool EngineTable::noteLeaving(const UpstreamId &Id, Time Now) {
  std::erase_if(this->SaidLeaving, [&](const auto &Each) {
    return Now >= Each.second + Duration(LeavingKept);
  });
  this->SaidLeaving.emplace(Id, Now);
  return this->setLeaving(Id, Now);
}

EngineStanding EngineTable::registeredStanding(const EngineRecord &Of) const {
  const bool Leaves = Of.Draining || this->SaidLeaving.contains(Of.Id);
  return Leaves ? EngineStanding::Leaving : EngineStanding::Usable;
}

std::vector<UpstreamId> EngineTable::expire(Time Now) {
  std::vector<UpstreamId> Gone;
  // Asked at every event, and hardly ever due.
  if (Now >= this->NextAge)
    Gone = this->endMissing(Now);
  if (Now >= this->NextForgetting)
    this->forgetRemovals(Now);
  return Gone;
}

std::vector<UpstreamId> EngineTable::endMissing(Time Now) {
  std::vector<UpstreamId> Gone;
  this->NextAge = Never;
  for (const auto &[Of, Each] : this->Engines) {
    if (Each.Standing != EngineStanding::Missing)
      continue;
    const Time DueAt = Each.Since + this->Times.MissingFor;
    if (Now >= DueAt)
      Gone.push_back(Each.Record.Id);
    else
      this->NextAge = std::min(this->NextAge, DueAt);
  }
  for (const UpstreamId &Id : Gone) {
    const auto Found = this->Engines.find(engineName(Id));
    this->noteRemoval(Found->first, Found->second.Offset, Now).BornMs =
        engineStartMs(Id);
    this->erase(Found);
  }
  return Gone;
}

void EngineTable::forgetRemovals(Time Now) {
  this->NextForgetting = Never;
  std::erase_if(this->Removed, [&](const auto &Each) {
    const Time DueAt = Each.second.At + this->Times.KeepRemoved;
    const bool Due = Now >= DueAt;
    if (Due)
      this->ForgottenTo = std::max(this->ForgottenTo, Each.second.Offset + 1);
    else
      this->NextForgetting = std::min(this->NextForgetting, DueAt);
    return Due;
  });
}

EngineTable::Removal &EngineTable::noteRemoval(const Name &Of, LogOffset Offset,
                                               Time Now) {
  Removal &Over = this->Removed[Of];
  Over.Offset = std::max(Over.Offset, Offset);
  Over.At = Now;
  this->NextForgetting =
      std::min(this->NextForgetting, Now + this->Times.KeepRemoved);
  return Over;
}

const RegisteredEngine *EngineTable::find(const UpstreamId &Id) const {
  const auto Found = this->Engines.find(engineName(Id));
  const bool Known =
      Found != this->Engines.end() && Found->second.Record.Id == Id;
  return Known ? &Found->second : nullptr;
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
  for (const auto &[Of, Each] : this->Engines)
    if (Each.ChangedAt >= From)
      Result.push_back({Each.Record, Each.Standing == EngineStanding::Missing,
                        Each.ChangedAt});
  for (const auto &[Of, Each] : this->Removed) {
    if (Each.Offset < From)
      continue;
    EngineChange Gone;
    Gone.Engine.Id = UpstreamId(Of);
    Gone.Removed = true;
    Gone.Offset = Each.Offset;
    Result.push_back(std::move(Gone));
  }
  return Result;
}

void EngineTable::stand(RegisteredEngine &Of, EngineStanding Next, Time Now) {
  if (Of.Standing == Next)
    return;
  Of.Standing = Next;
  Of.Since = Now;
  if (Next == EngineStanding::Missing)
    this->NextAge = std::min(this->NextAge, Now + this->Times.MissingFor);
}

void EngineTable::include(const RegisteredEngine &Of) {
  std::vector<const RegisteredEngine *> &All =
      this->ByService[Of.Record.Service];
  All.insert(std::ranges::lower_bound(All, Of.Record.Id, {}, idOf), &Of);
  // The order of the sum does not matter, so no host has to sort.
  if (Of.Standing != EngineStanding::Missing)
    this->Digest += digestOf(Of.Record);
}

void EngineTable::exclude(const RegisteredEngine &Of) {
  const auto Found = this->ByService.find(Of.Record.Service);
  std::vector<const RegisteredEngine *> &All = Found->second;
  All.erase(std::ranges::lower_bound(All, Of.Record.Id, {}, idOf));
  if (All.empty())
    this->ByService.erase(Found);
  if (Of.Standing != EngineStanding::Missing)
    this->Digest -= digestOf(Of.Record);
}

void EngineTable::erase(ByName::const_iterator At) {
  this->exclude(At->second);
  this->Engines.erase(At);
}

} // namespace banyanpick
