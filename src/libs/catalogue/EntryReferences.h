/// \file
/// Whether everything that entries name is declared.
#pragma once

#include "catalogue/EntryCheck.h"

namespace banyanpick {

/// What \p Of names that is neither in \p File nor in \p InForce: its owner,
/// a team's classes, a class's model. Owners are looked for only when it is
/// known what is in force, for they are declared in a file of root's.
/// Application services are known to the host list only and not looked for.
std::vector<EntryProblem> missingReferences(const Entry &Of,
                                            const EntryMap &File,
                                            const EntryMap *InForce);

} // namespace banyanpick
