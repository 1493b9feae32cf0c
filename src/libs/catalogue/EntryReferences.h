/// \file
/// Checks that the entries to which an entry refers are declared.
#pragma once

#include "catalogue/EntryCheck.h"

namespace banyanpick {

/// Returns a problem for each entry that \p Value refers to and that is neither
/// in \p File nor in \p InForce: its owner, the classes of a team and the model
/// of a class. Owners are checked only when \p InForce is not null, because
/// they are declared in a separate file that belongs to root. Application
/// services are not checked, because only the host list contains them.
std::vector<EntryProblem> missingReferences(const Entry &Value,
                                            const EntryMap &File,
                                            const EntryMap *InForce);

} // namespace banyanpick
