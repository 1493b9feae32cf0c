/// \file
/// Authenticates operators by their keys.
#pragma once

#include "catalogue/Catalogue.h"

#include <optional>
#include <string_view>

namespace banyanpick {

/// Returns the owner that \p OperatorKey (`owner.secret`) belongs to, or
/// nothing. \p RootKey is the secret of RootOwner. If it is empty, nobody is
/// root.
std::optional<OwnerId> authenticatedOwner(const Catalogue &InForce,
                                          std::string_view OperatorKey,
                                          std::string_view RootKey);

} // namespace banyanpick
