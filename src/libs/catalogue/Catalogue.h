/// \file
/// The fold of change sets into the catalogue: a pure function of the log, so
/// that every host comes to the same result.
#pragma once

#include "catalogue/Entry.h"

#include <deque>
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

/// The verdict on one change set.
struct KnownVerdict {
  ChangeId Id;
  ChangeVerdict Verdict;

  bool operator==(const KnownVerdict &) const = default;
};

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

  /// Replaces everything by a snapshot taken at \p Offset, with the verdicts
  /// known there in the order of their folding.
  void restore(EntryMap Entries, LogOffset Offset,
               std::vector<KnownVerdict> Verdicts = {});

  /// Notes that a record of another kind was read at \p Offset.
  void advanceTo(LogOffset Offset);

  /// The verdict on a change set, or null when it was not folded or was
  /// followed by more than MaxVerdicts others.
  const ChangeVerdict *verdict(const ChangeId &Id) const;

  /// The verdicts remembered, in the order of their folding.
  std::vector<KnownVerdict> verdicts() const;

  /// How many verdicts are remembered. Part of the fold: a second copy of a
  /// change set must be recognised by all hosts or by none.
  static constexpr std::size_t MaxVerdicts = 4096;

  const TeamEntry *team(const TeamId &Team) const;
  const ClassEntry *classOf(const ClassId &Class) const;
  const ModelEntry *model(const ModelId &Model) const;
  const OwnerEntry *owner(const OwnerId &Owner) const;

private:
  void remember(const ChangeId &Id, ChangeVerdict Verdict);

  EntryMap Entries;
  LogOffset Offset = 0;
  std::map<ChangeId, ChangeVerdict> Verdicts;
  std::deque<ChangeId> VerdictOrder;
};

} // namespace banyanpick
