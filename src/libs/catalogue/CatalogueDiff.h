/// \file
/// Computes the changes that turn the catalogue in force into a declared one.
#pragma once

#include "catalogue/Entry.h"

#include <string>
#include <vector>

namespace banyanpick {

/// The difference between an owner's file and the catalogue in force.
struct CatalogueDiff {
  std::vector<Change> Changes; ///< Ordered by key.
  /// Entries in force that belong to the author and that the file does not
  /// declare.
  std::vector<EntryKey> Undeclared;
  /// Entries of the file that belong to other owners; they are not changed.
  std::vector<EntryKey> OwnedByOthers;
};

/// Compares only the entries of \p Author. With \p Prune, the changes remove
/// entries in force that \p Declared lacks; otherwise these entries stay.
CatalogueDiff difference(const EntryMap &Declared, const EntryMap &InForce,
                         const OwnerId &Author, bool Prune);

/// Returns the change as lines of text: `+ team a` for an added entry,
/// `- team a` for a removed one and `~ team a` for a modified one. The fields
/// of an added entry and the changed fields of a modified one follow.
std::string describe(const Change &Proposed, const EntryMap &InForce);

} // namespace banyanpick
