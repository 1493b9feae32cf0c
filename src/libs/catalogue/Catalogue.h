/// \file
/// The catalogue as the fold of all change sets in the log. The fold is a pure
/// function of the log, so all hosts compute the same state.
#pragma once

#include "catalogue/Entry.h"

#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

/// The change set was applied at this offset.
struct ChangeAccepted {
  LogOffset Offset = 0;

  bool operator==(const ChangeAccepted &) const = default;
};

/// The change set was rejected and nothing was changed. The message names the
/// entry, the owner that changed it and the remedy.
struct ChangeRefused {
  std::string Message;

  bool operator==(const ChangeRefused &) const = default;
};

using ChangeVerdict = std::variant<ChangeAccepted, ChangeRefused>;

/// A change set's id with its verdict.
struct KnownVerdict {
  ChangeId Id;
  ChangeVerdict Verdict;

  bool operator==(const KnownVerdict &) const = default;
};

/// The state of the catalogue at one offset of the log.
class Catalogue {
public:
  /// Returns all entries in force.
  const EntryMap &entries() const { return this->Entries; }

  /// Returns the offset of the last record processed, accepted or not.
  LogOffset offset() const { return this->Offset; }

  /// Folds the change set read at \p Offset and returns the verdict. A set with
  /// an id that was folded before changes nothing and gets the first verdict
  /// again.
  ChangeVerdict fold(const ChangeSet &Set, LogOffset Offset);

  /// Replaces the state by a snapshot taken at \p Offset. \p Verdicts are those
  /// of the snapshot, oldest first.
  void restore(EntryMap Entries, LogOffset Offset,
               std::vector<KnownVerdict> Verdicts = {});

  /// Advances the offset past a record of another kind, read at \p Offset.
  void advanceTo(LogOffset Offset);

  /// Returns the verdict on a change set, or null when the set was not folded
  /// or its verdict was evicted by MaxVerdicts newer ones.
  const ChangeVerdict *verdict(const ChangeId &Id) const;

  /// Returns the stored verdicts, oldest first.
  std::vector<KnownVerdict> verdicts() const;

  /// The number of stored verdicts. The bound is part of the fold: all hosts
  /// must agree on whether a change set is a duplicate.
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
