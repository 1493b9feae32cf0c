/// \file
/// Who an operator is.
#pragma once

#include "catalogue/Fold.h"

#include <optional>
#include <string_view>

namespace banyanpick {

/// The owner whose key \p OperatorKey (`owner.secret`) is, or nothing.
/// \p RootKey is the secret of RootOwner; empty: there is none.
std::optional<OwnerId> authenticatedOwner(const Catalogue &InForce,
                                          std::string_view OperatorKey,
                                          std::string_view RootKey);

} // namespace banyanpick
