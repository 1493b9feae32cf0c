/// \file
/// The changes that lead from the catalogue in force to a declared one.
#pragma once

#include "catalogue/Entry.h"

#include <string>
#include <vector>

namespace banyanpick {

/// What an owner's file asks for.
struct CatalogueDiff {
  std::vector<Change> Changes; ///< In the order of their keys.
  /// Entries of the author in force that the file does not declare.
  std::vector<EntryKey> Undeclared;
  /// Entries of the file that belong to other owners, left to them.
  std::vector<EntryKey> OwnedByOthers;
};

/// Compares the entries of \p Author only. With \p Prune the undeclared ones
/// are removed by the changes; without, they stay.
CatalogueDiff difference(const EntryMap &Declared, const EntryMap &InForce,
                         const OwnerId &Author, bool Prune);

/// The change in lines: `+ team a` for a new entry, `- team a` for one
/// removed, `~ team a` for another, with each field that differs.
std::string describe(const Change &Of, const EntryMap &InForce);

} // namespace banyanpick
