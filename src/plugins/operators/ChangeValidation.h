/// \file
/// Validates change sets before they are appended to the log.
#pragma once

#include "catalogue/Catalogue.h"

#include <string>

namespace banyanpick {

/// Returns why \p Set may not be applied, together with the remedy, or an empty
/// string. Checks the author's permissions, the entries themselves, and that
/// the entries they refer to exist. Conflicts between versions are left to the
/// fold.
std::string validateChangeSet(const ChangeSet &Set, const Catalogue &InForce);

} // namespace banyanpick
