/// \file
/// Whether the values of an entry are allowed.
#pragma once

#include "catalogue/Entry.h"

#include <string>
#include <vector>

namespace banyanpick {

/// One thing wrong with an entry.
struct EntryProblem {
  std::string Field;   ///< Empty: the entry as a whole.
  std::string Message; ///< Such as `is no duration`.
  std::string Remedy;  ///< Names what is allowed.

  bool operator==(const EntryProblem &) const = default;
};

/// Everything wrong with one entry by itself; empty when it may be applied.
std::vector<EntryProblem> problemsOf(const EntryKey &Key,
                                     const EntryBody &Body);

} // namespace banyanpick
