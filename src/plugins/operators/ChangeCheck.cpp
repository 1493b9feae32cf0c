/// \file
#include "plugins/operators/ChangeCheck.h"

#include "base/Visitor.h"
#include "catalogue/EntryCheck.h"
#include "plugins/operators/OperatorKeyring.h"

#include <algorithm>
#include <set>

namespace banyanpick {

namespace {

/// Bounds of what one operator may hand in at once.
constexpr std::size_t MostChanges = 4096;
constexpr std::size_t LongestId = 128;

/// The entries as they would be if the change set took effect.
class CatalogueAfter {
public:
  CatalogueAfter(const ChangeSet &Set, const EntryMap &InForce)
      : InForce(InForce) {
    for (const Change &Each : Set.Changes)
      this->Changed[Each.Key] = Each.Body ? &*Each.Body : nullptr;
  }

  bool has(const EntryKey &Key) const {
    const auto Found = this->Changed.find(Key);
    if (Found != this->Changed.end())
      return Found->second != nullptr;
    return this->InForce.contains(Key);
  }

  /// The first entry that would refer to the missing \p Gone, or empty.
  std::string userOf(const EntryKey &Gone) const {
    for (const auto &[Key, Body] : this->Changed) {
      if (Body && uses(*Body, Gone))
        return text(Key);
    }
    for (const auto &[Key, InPlace] : this->InForce) {
      if (!this->Changed.contains(Key) &&
          (uses(InPlace.Body, Gone) || isOwnedBy(InPlace, Gone)))
        return text(Key);
    }
    return {};
  }

private:
  static bool uses(const EntryBody &Body, const EntryKey &Gone) {
    if (const auto *Team = std::get_if<TeamEntry>(&Body))
      return Gone.Kind == EntryKind::Class &&
             std::find(Team->Classes.begin(), Team->Classes.end(),
                       ClassId(Gone.Name)) != Team->Classes.end();
    const auto *Class = std::get_if<ClassEntry>(&Body);
    return Class && Gone.Kind == EntryKind::Model &&
           Class->Target == TargetKind::Model && Class->TargetName == Gone.Name;
  }

  static bool isOwnedBy(const Entry &InPlace, const EntryKey &Gone) {
    return Gone.Kind == EntryKind::Owner && InPlace.Owner.Value == Gone.Name;
  }

  const EntryMap &InForce;
  std::map<EntryKey, const EntryBody *> Changed;
};

/// Who may make the change, apart from what the fold judges.
std::string problemWithAuthor(const Change &Wanted, const OwnerId &Author,
                              const CatalogueAfter &After) {
  const bool Root = Author.Value == RootOwner;
  if (Wanted.Key.Kind == EntryKind::Owner && !Root)
    return text(Wanted.Key) + " may be changed by root only; ask root";
  if (Wanted.Key.Kind == EntryKind::Owner && Wanted.Key.Name == RootOwner)
    return "root's key stands in the hosts' settings; change it there";
  if (!Wanted.Body)
    return {};
  if (!Root && Wanted.Owner != Author)
    return text(Wanted.Key) + " is given to owner " + Wanted.Owner.Value +
           "; declare your own entries only";
  if (Wanted.Owner.Value != RootOwner &&
      !After.has({EntryKind::Owner, Wanted.Owner.Value}))
    return text(Wanted.Key) + " has the unknown owner " + Wanted.Owner.Value +
           "; let root declare that owner first";
  return {};
}

std::string problemWithReferences(const Change &Wanted,
                                  const CatalogueAfter &After) {
  if (!Wanted.Body) {
    const std::string User = After.userOf(Wanted.Key);
    return User.empty() ? std::string()
                        : text(Wanted.Key) + " is used by " + User +
                              "; change or remove that first";
  }
  if (const auto *Team = std::get_if<TeamEntry>(&*Wanted.Body)) {
    for (const ClassId &Each : Team->Classes) {
      if (!After.has({EntryKind::Class, Each.Value}))
        return text(Wanted.Key) + " uses the unknown class " + Each.Value +
               "; declare it or remove it from the team";
    }
  }
  const auto *Class = std::get_if<ClassEntry>(&*Wanted.Body);
  if (Class && Class->Target == TargetKind::Model &&
      !After.has({EntryKind::Model, Class->TargetName}))
    return text(Wanted.Key) + " runs on the unknown model " +
           Class->TargetName + "; declare the model";
  return {};
}

std::string problemWithEntry(const Change &Wanted) {
  if (!Wanted.Body)
    return {};
  if (Wanted.Body->index() != static_cast<std::size_t>(Wanted.Key.Kind))
    return text(Wanted.Key) + " has the body of another kind; mend the kind";
  const auto Problems = problemsOf(Wanted.Key, *Wanted.Body);
  if (Problems.empty())
    return {};
  const EntryProblem &First = Problems.front();
  const std::string Field = First.Field.empty() ? "" : " " + First.Field;
  return text(Wanted.Key) + Field + " " + First.What + "; " + First.Remedy;
}

std::string problemWithFrame(const ChangeSet &Set) {
  if (Set.Id.Value.empty() || Set.Id.Value.size() > LongestId)
    return "the change set's id is empty or longer than 128 characters; give "
           "a unique one";
  if (Set.Changes.empty() || Set.Changes.size() > MostChanges)
    return "a change set holds 1 to 4096 changes; split it";
  std::set<EntryKey> Seen;
  for (const Change &Each : Set.Changes) {
    if (!Seen.insert(Each.Key).second)
      return text(Each.Key) + " is changed twice; remove one of the two";
  }
  return {};
}

} // namespace

std::string problemWith(const ChangeSet &Set, const Catalogue &InForce) {
  std::string Problem = problemWithFrame(Set);
  if (!Problem.empty())
    return Problem;
  const CatalogueAfter After(Set, InForce.entries());
  for (const Change &Each : Set.Changes) {
    Problem = problemWithEntry(Each);
    if (Problem.empty())
      Problem = problemWithAuthor(Each, Set.Author, After);
    if (Problem.empty())
      Problem = problemWithReferences(Each, After);
    if (!Problem.empty())
      return Problem;
  }
  return {};
}

} // namespace banyanpick
