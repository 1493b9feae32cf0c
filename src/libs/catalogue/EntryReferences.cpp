#include "catalogue/EntryReferences.h"

#include "base/Visitor.h"

namespace banyanpick {

namespace {

/// Collects what is missing.
struct ReferenceCheck {
  const EntryMap &File;
  const EntryMap *InForce;
  std::vector<EntryProblem> Missing{};

  void need(std::string_view Field, EntryKind Kind, const std::string &Name) {
    const EntryKey Key{Kind, Name};
    if (this->File.contains(Key) ||
        (this->InForce && this->InForce->contains(Key)))
      return;
    this->Missing.push_back({std::string(Field),
                             "names " + text(Key) + ", which is not declared",
                             "add [" + text(Key) + "] or mend the name"});
  }
};

} // namespace

std::vector<EntryProblem> missingReferences(const Entry &Of,
                                            const EntryMap &File,
                                            const EntryMap *InForce) {
  ReferenceCheck Check{File, InForce};
  if (InForce && Of.Owner.Value != RootOwner)
    Check.need("owner", EntryKind::Owner, Of.Owner.Value);
  match(
      Of.Body,
      [&](const TeamEntry &Team) {
        for (const ClassId &Each : Team.Classes)
          Check.need("classes", EntryKind::Class, Each.Value);
      },
      [&](const ClassEntry &Class) {
        if (Class.Target == TargetKind::Model)
          Check.need("target", EntryKind::Model, Class.TargetName);
      },
      [](const auto &) {});
  return std::move(Check.Missing);
}

} // namespace banyanpick
