#include "plugins/engines/EngineTable.h"

#include <algorithm>
#include <set>

namespace banyanpick {

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

EngineTable::Effect EngineTable::apply(const EngineChange &Change,
                                       bool Doubtful, Time Now) {
  const auto Over = this->Removed.find(Change.Engine.Id);
  if (Over != this->Removed.end() && Over->second.Offset >= Change.Offset)
    return Effect::None;
  const auto Found = this->Engines.find(Change.Engine.Id);
  if (Found != this->Engines.end() && Found->second.Offset >= Change.Offset)
    return Effect::None;
  if (Change.Removed)
    return this->remove(Change, Doubtful, Now);
  this->Removed.erase(Change.Engine.Id);
  const bool IsNew = Found == this->Engines.end();
  KnownEngine &Of = this->Engines[Change.Engine.Id];
  const KnownEngine Before = Of;
  Of.Record = Change.Engine;
  Of.Offset = Change.Offset;
  const EngineStanding Next =
      Change.Engine.Draining ? EngineStanding::Leaving : EngineStanding::Usable;
  // Whoever is known to leave does not come back under the same id.
  if (IsNew || Before.Standing != EngineStanding::Leaving)
    Of.Standing = Next;
  if (IsNew || Of.Standing != Before.Standing)
    Of.Since = Now;
  if (IsNew || Of.Record.Service != Before.Record.Service)
    this->index();
  const bool Same =
      !IsNew && Before.Record == Of.Record && Before.Standing == Of.Standing;
  return Same ? Effect::None : Effect::Changed;
}

EngineTable::Effect EngineTable::remove(const EngineChange &Change,
                                        bool Doubtful, Time Now) {
  const auto Found = this->Engines.find(Change.Engine.Id);
  if (Found == this->Engines.end()) {
    this->Removed[Change.Engine.Id] = {Change.Offset, Now};
    return Effect::None;
  }
  KnownEngine &Of = Found->second;
  if (Doubtful && Of.Standing == EngineStanding::Usable) {
    Of.Offset = Change.Offset;
    Of.Standing = EngineStanding::Missing;
    Of.Since = Now;
    return Effect::Changed;
  }
  if (Doubtful && Of.Standing == EngineStanding::Missing) {
    Of.Offset = Change.Offset;
    return Effect::None;
  }
  this->Removed[Change.Engine.Id] = {Change.Offset, Now};
  this->Engines.erase(Found);
  this->index();
  return Effect::Gone;
}

std::vector<EngineChange>
EngineTable::missingFrom(std::span<const EngineChange> Listing,
                         LogOffset UpTo) const {
  std::set<UpstreamId> Named;
  for (const EngineChange &Each : Listing)
    Named.insert(Each.Engine.Id);
  std::vector<EngineChange> Result;
  for (const auto &[Id, Each] : this->Engines) {
    if (Named.contains(Id) || Each.Offset >= UpTo)
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
  const auto Found = this->Engines.find(Id);
  if (Found == this->Engines.end() ||
      Found->second.Standing == EngineStanding::Leaving)
    return false;
  if (Found->second.Standing == EngineStanding::Missing) {
    // No registration and no address: age() takes it away now. As one that
    // leaves it would stay for ever, since its removal was already told.
    Found->second.Since = Now - this->Times.MissingFor;
    return false;
  }
  Found->second.Standing = EngineStanding::Leaving;
  Found->second.Since = Now;
  return true;
}

std::vector<UpstreamId> EngineTable::age(Time Now) {
  std::vector<UpstreamId> Gone;
  for (const auto &[Id, Each] : this->Engines)
    if (Each.Standing == EngineStanding::Missing &&
        Now >= Each.Since + this->Times.MissingFor)
      Gone.push_back(Id);
  for (const UpstreamId &Id : Gone) {
    this->Removed[Id] = {this->Engines[Id].Offset, Now};
    this->Engines.erase(Id);
  }
  if (!Gone.empty())
    this->index();
  std::erase_if(this->Removed, [&](const auto &Each) {
    const bool Due = Now >= Each.second.At + this->Times.KeepRemoved;
    if (Due)
      this->ForgottenTo = std::max(this->ForgottenTo, Each.second.Offset + 1);
    return Due;
  });
  return Gone;
}

Time EngineTable::nextAge() const {
  Time Result = Never;
  for (const auto &[Id, Each] : this->Engines)
    if (Each.Standing == EngineStanding::Missing)
      Result = std::min(Result, Each.Since + this->Times.MissingFor);
  return Result;
}

const KnownEngine *EngineTable::find(const UpstreamId &Id) const {
  const auto Found = this->Engines.find(Id);
  return Found == this->Engines.end() ? nullptr : &Found->second;
}

std::span<const KnownEngine *const>
EngineTable::ofService(const ServiceId &Service) const {
  const auto Found = this->ByService.find(Service);
  if (Found == this->ByService.end())
    return {};
  return Found->second;
}

std::vector<EngineChange> EngineTable::changesFrom(LogOffset From) const {
  std::vector<EngineChange> Result;
  for (const auto &[Id, Each] : this->Engines)
    if (Each.Offset >= From)
      Result.push_back(
          {Each.Record, Each.Standing == EngineStanding::Missing, Each.Offset});
  for (const auto &[Id, Each] : this->Removed) {
    if (Each.Offset < From)
      continue;
    EngineChange Gone;
    Gone.Engine.Id = Id;
    Gone.Removed = true;
    Gone.Offset = Each.Offset;
    Result.push_back(std::move(Gone));
  }
  return Result;
}

void EngineTable::index() {
  this->ByService.clear();
  for (const auto &[Id, Each] : this->Engines)
    this->ByService[Each.Record.Service].push_back(&Each);
}

} // namespace banyanpick
