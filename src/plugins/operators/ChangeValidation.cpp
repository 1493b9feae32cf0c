/// \file
#include "plugins/operators/ChangeValidation.h"

#include "base/Visitor.h"
#include "catalogue/EntryCheck.h"
#include "plugins/operators/OperatorAuthentication.h"

#include <algorithm>
#include <set>

namespace banyanpick {

namespace {

/// Bounds of one change set.
constexpr std::size_t MaxChanges = 4096;
constexpr std::size_t MaxIdLength = 128;

/// The entries as they would be after the change set took effect.
class ResultingCatalogue {
public:
  ResultingCatalogue(const ChangeSet &Set, const EntryMap &InForce)
      : InForce(InForce) {
    for (const Change &Proposed : Set.Changes)
      this->Changed[Proposed.Key] = Proposed.Body ? &*Proposed.Body : nullptr;
  }

  bool contains(const EntryKey &Key) const {
    const auto Found = this->Changed.find(Key);
    if (Found != this->Changed.end())
      return Found->second != nullptr;
    return this->InForce.contains(Key);
  }

  /// Returns the first entry that would still refer to the missing
  /// \p Removed, or an empty string.
  std::string findReference(const EntryKey &Removed) const {
    for (const auto &[Key, Body] : this->Changed) {
      if (Body && refersTo(*Body, Removed))
        return text(Key);
    }
    for (const auto &[Key, Existing] : this->InForce) {
      if (!this->Changed.contains(Key) &&
          (refersTo(Existing.Body, Removed) || isOwnedBy(Existing, Removed)))
        return text(Key);
    }
    return {};
  }

private:
  static bool refersTo(const EntryBody &Body, const EntryKey &Removed) {
    if (const auto *Team = std::get_if<TeamEntry>(&Body))
      return Removed.Kind == EntryKind::Class &&
             std::find(Team->Classes.begin(), Team->Classes.end(),
                       ClassId(Removed.Name)) != Team->Classes.end();
    const auto *Class = std::get_if<ClassEntry>(&Body);
    return Class && Removed.Kind == EntryKind::Model &&
           Class->Target == TargetKind::Model &&
           Class->TargetName == Removed.Name;
  }

  static bool isOwnedBy(const Entry &Existing, const EntryKey &Removed) {
    return Removed.Kind == EntryKind::Owner &&
           Existing.Owner.Value == Removed.Name;
  }

  const EntryMap &InForce;
  std::map<EntryKey, const EntryBody *> Changed;
};

/// Checks whether the author may make the change, except for the rules that the
/// fold applies.
std::string checkAuthor(const Change &Proposed, const OwnerId &Author,
                        const ResultingCatalogue &Resulting) {
  const bool IsRoot = Author.Value == RootOwner;
  if (Proposed.Key.Kind == EntryKind::Owner && !IsRoot)
    return text(Proposed.Key) + " may be changed by root only; ask root";
  if (Proposed.Key.Kind == EntryKind::Owner && Proposed.Key.Name == RootOwner)
    return "root's key stands in the hosts' settings; change it there";
  if (!Proposed.Body)
    return {};
  if (!IsRoot && Proposed.Owner != Author)
    return text(Proposed.Key) + " is given to owner " + Proposed.Owner.Value +
           "; declare your own entries only";
  if (Proposed.Owner.Value != RootOwner &&
      !Resulting.contains({EntryKind::Owner, Proposed.Owner.Value}))
    return text(Proposed.Key) + " has the unknown owner " +
           Proposed.Owner.Value + "; let root declare that owner first";
  return {};
}

std::string checkReferences(const Change &Proposed,
                            const ResultingCatalogue &Resulting) {
  if (!Proposed.Body) {
    const std::string Reference = Resulting.findReference(Proposed.Key);
    return Reference.empty() ? std::string()
                             : text(Proposed.Key) + " is used by " + Reference +
                                   "; change or remove that first";
  }
  if (const auto *Team = std::get_if<TeamEntry>(&*Proposed.Body)) {
    for (const ClassId &Name : Team->Classes) {
      if (!Resulting.contains({EntryKind::Class, Name.Value}))
        return text(Proposed.Key) + " uses the unknown class " + Name.Value +
               "; declare it or remove it from the team";
    }
  }
  const auto *Class = std::get_if<ClassEntry>(&*Proposed.Body);
  if (Class && Class->Target == TargetKind::Model &&
      !Resulting.contains({EntryKind::Model, Class->TargetName}))
    return text(Proposed.Key) + " runs on the unknown model " +
           Class->TargetName + "; declare the model";
  return {};
}

std::string checkEntry(const Change &Proposed) {
  if (!Proposed.Body)
    return {};
  if (Proposed.Body->index() != static_cast<std::size_t>(Proposed.Key.Kind))
    return text(Proposed.Key) + " has the body of another kind; mend the kind";
  const auto Problems = problemsOf(Proposed.Key, *Proposed.Body);
  if (Problems.empty())
    return {};
  const EntryProblem &First = Problems.front();
  const std::string Field = First.Field.empty() ? "" : " " + First.Field;
  return text(Proposed.Key) + Field + " " + First.Message + "; " + First.Remedy;
}

std::string checkIdAndSize(const ChangeSet &Set) {
  if (Set.Id.Value.empty() || Set.Id.Value.size() > MaxIdLength)
    return "the change set's id is empty or longer than 128 characters; give "
           "a unique one";
  if (Set.Changes.empty() || Set.Changes.size() > MaxChanges)
    return "a change set holds 1 to 4096 changes; split it";
  std::set<EntryKey> Keys;
  for (const Change &Proposed : Set.Changes) {
    if (!Keys.insert(Proposed.Key).second)
      return text(Proposed.Key) + " is changed twice; remove one of the two";
  }
  return {};
}

} // namespace

std::string validateChangeSet(const ChangeSet &Set, const Catalogue &InForce) {
  std::string Problem = checkIdAndSize(Set);
  if (!Problem.empty())
    return Problem;
  const ResultingCatalogue Resulting(Set, InForce.entries());
  for (const Change &Proposed : Set.Changes) {
    Problem = checkEntry(Proposed);
    if (Problem.empty())
      Problem = checkAuthor(Proposed, Set.Author, Resulting);
    if (Problem.empty())
      Problem = checkReferences(Proposed, Resulting);
    if (!Problem.empty())
      return Problem;
  }
  return {};
}

} // namespace banyanpick
