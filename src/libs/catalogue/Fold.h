/// \file
/// The fold of change sets into the catalogue: a pure function of the log, so
/// that every host comes to the same result.
#pragma once

#include "catalogue/Entry.h"

#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

/// The change set took effect at this offset.
struct ChangeAccepted {
  LogOffset Offset = 0;

  bool operator==(const ChangeAccepted &) const = default;
};

/// The change set took no effect. The message names entry, who changed it,
/// and the remedy.
struct ChangeRefused {
  std::string Message;

  bool operator==(const ChangeRefused &) const = default;
};

using ChangeVerdict = std::variant<ChangeAccepted, ChangeRefused>;

/// The catalogue at one offset of the log.
class Catalogue {
public:
  /// Everything in force.
  const EntryMap &entries() const { return this->Entries; }

  /// The offset of the last record folded, accepted or not.
  LogOffset offset() const { return this->Offset; }

  /// Folds the change set read at \p Offset. The same set (by its id) folded
  /// again gives its first verdict and changes nothing.
  ChangeVerdict fold(const ChangeSet &Set, LogOffset Offset);

  /// Replaces everything by a snapshot taken at \p Offset.
  void restore(EntryMap Entries, LogOffset Offset);

  /// Notes that a record of another kind was read at \p Offset.
  void passOver(LogOffset Offset);

  const TeamEntry *team(const TeamId &Team) const;
  const ClassEntry *classOf(const ClassId &Class) const;
  const ModelEntry *model(const ModelId &Model) const;
  const OwnerEntry *owner(const OwnerId &Owner) const;

private:
  EntryMap Entries;
  LogOffset Offset = 0;
  std::map<ChangeId, ChangeVerdict> Verdicts;
};

} // namespace banyanpick
