#include "catalogue/EntryReferences.h"

#include "base/Visitor.h"

namespace banyanpick {

namespace {

/// Collects references to entries that are not declared.
struct ReferenceCheck {
  const EntryMap &File;
  const EntryMap *InForce;
  std::vector<EntryProblem> Missing{};

  void addIfMissing(std::string_view Field, EntryKind Kind,
                    const std::string &Name) {
    const EntryKey Key{Kind, Name};
    if (this->File.contains(Key) ||
        (this->InForce && this->InForce->contains(Key)))
      return;
    this->Missing.push_back({std::string(Field),
                             "names " + text(Key) + ", which is not declared",
                             "add [" + text(Key) + "] or correct the name"});
  }
};

} // namespace

std::vector<EntryProblem> missingReferences(const Entry &Value,
                                            const EntryMap &File,
                                            const EntryMap *InForce) {
  ReferenceCheck Check{File, InForce};
  if (InForce && Value.Owner.Value != RootOwner)
    Check.addIfMissing("owner", EntryKind::Owner, Value.Owner.Value);
  match(
      Value.Body,
      [&](const TeamEntry &Team) {
        for (const ClassId &Class : Team.Classes)
          Check.addIfMissing("classes", EntryKind::Class, Class.Value);
      },
      [&](const ClassEntry &Class) {
        if (Class.Target == TargetKind::Model)
          Check.addIfMissing("target", EntryKind::Model, Class.TargetName);
      },
      [](const auto &) {});
  return std::move(Check.Missing);
}

} // namespace banyanpick
