/// \file
/// What is checked of a change set before it goes to the log.
#pragma once

#include "catalogue/Fold.h"

#include <string>

namespace banyanpick {

/// Why \p Set may not be applied, with the remedy, or empty. Checks who may
/// change what, the entries themselves, and that what they refer to exists.
/// The fold judges conflicts; nothing here depends on versions.
std::string validateChangeSet(const ChangeSet &Set, const Catalogue &InForce);

} // namespace banyanpick
