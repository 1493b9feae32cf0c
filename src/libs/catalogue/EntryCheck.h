/// \file
/// Checks the values of catalogue entries.
#pragma once

#include "catalogue/Entry.h"

#include <string>
#include <vector>

namespace banyanpick {

/// One problem of an entry.
struct EntryProblem {
  std::string Field;   ///< Empty when the problem concerns the whole entry.
  std::string Message; ///< The problem, such as `is not a duration`.
  std::string Remedy;  ///< States the allowed values.

  bool operator==(const EntryProblem &) const = default;
};

/// Returns all problems of one entry, without its references to other entries.
/// Empty when the entry is valid.
std::vector<EntryProblem> problemsOf(const EntryKey &Key,
                                     const EntryBody &Body);

} // namespace banyanpick
