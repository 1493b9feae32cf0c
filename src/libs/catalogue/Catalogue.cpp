#include "catalogue/Catalogue.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Returns the body of the named entry, or null when there is none of this
/// type.
template <class Body>
const Body *find(const EntryMap &Entries, EntryKind Kind,
                 const std::string &Name) {
  const auto Found = Entries.find(EntryKey{Kind, Name});
  if (Found == Entries.end())
    return nullptr;
  return std::get_if<Body>(&Found->second.Body);
}

LogOffset versionInForce(const EntryMap &Entries, const EntryKey &Key) {
  const auto Found = Entries.find(Key);
  return Found == Entries.end() ? 0 : Found->second.Version;
}

std::optional<ChangeRefused> conflictOf(const EntryMap &Entries,
                                        const Change &Wanted,
                                        const OwnerId &Author) {
  const auto Found = Entries.find(Wanted.Key);
  const LogOffset InForce = versionInForce(Entries, Wanted.Key);
  if (Found != Entries.end() && Found->second.Owner != Author)
    return ChangeRefused{text(Wanted.Key) + " belongs to owner " +
                         Found->second.Owner.Value +
                         "; ask that owner to change it"};
  if (InForce != Wanted.BaseVersion)
    return ChangeRefused{
        text(Wanted.Key) + " was changed " +
        (Found == Entries.end() ? std::string("(removed)")
                                : "by owner " + Found->second.Owner.Value) +
        " at version " + std::to_string(InForce) + ", not " +
        std::to_string(Wanted.BaseVersion) +
        "; look at the difference with 'banyanpick diff' and apply again"};
  return std::nullopt;
}

} // namespace

ChangeVerdict Catalogue::fold(const ChangeSet &Set, LogOffset Offset) {
  this->advanceTo(Offset);
  const auto Recorded = this->Verdicts.find(Set.Id);
  if (Recorded != this->Verdicts.end())
    return Recorded->second;
  for (const Change &Wanted : Set.Changes) {
    const auto Conflict = conflictOf(this->Entries, Wanted, Set.Author);
    if (!Conflict)
      continue;
    this->remember(Set.Id, *Conflict);
    return *Conflict;
  }
  for (const Change &Wanted : Set.Changes) {
    if (Wanted.Body)
      this->Entries[Wanted.Key] = Entry{Wanted.Owner, *Wanted.Body, Offset};
    else
      this->Entries.erase(Wanted.Key);
  }
  this->remember(Set.Id, ChangeAccepted{Offset});
  return ChangeAccepted{Offset};
}

void Catalogue::restore(EntryMap NewEntries, LogOffset NewOffset,
                        std::vector<KnownVerdict> NewVerdicts) {
  this->Entries = std::move(NewEntries);
  this->Offset = NewOffset;
  this->Verdicts.clear();
  this->VerdictOrder.clear();
  for (KnownVerdict &Recorded : NewVerdicts)
    this->remember(Recorded.Id, std::move(Recorded.Verdict));
}

const ChangeVerdict *Catalogue::verdict(const ChangeId &Id) const {
  const auto Found = this->Verdicts.find(Id);
  return Found == this->Verdicts.end() ? nullptr : &Found->second;
}

std::vector<KnownVerdict> Catalogue::verdicts() const {
  std::vector<KnownVerdict> Result;
  for (const ChangeId &Id : this->VerdictOrder)
    Result.push_back({Id, this->Verdicts.at(Id)});
  return Result;
}

void Catalogue::remember(const ChangeId &Id, ChangeVerdict Verdict) {
  if (!this->Verdicts.emplace(Id, std::move(Verdict)).second)
    return;
  this->VerdictOrder.push_back(Id);
  if (this->VerdictOrder.size() <= MaxVerdicts)
    return;
  this->Verdicts.erase(this->VerdictOrder.front());
  this->VerdictOrder.pop_front();
}

void Catalogue::advanceTo(LogOffset AtOffset) {
  this->Offset = std::max(this->Offset, AtOffset);
}

const TeamEntry *Catalogue::team(const TeamId &Team) const {
  return find<TeamEntry>(this->Entries, EntryKind::Team, Team.Value);
}

const ClassEntry *Catalogue::classOf(const ClassId &Class) const {
  return find<ClassEntry>(this->Entries, EntryKind::Class, Class.Value);
}

const ModelEntry *Catalogue::model(const ModelId &Model) const {
  return find<ModelEntry>(this->Entries, EntryKind::Model, Model.Value);
}

const OwnerEntry *Catalogue::owner(const OwnerId &Owner) const {
  return find<OwnerEntry>(this->Entries, EntryKind::Owner, Owner.Value);
}

} // namespace banyanpick
