/// \file
/// The commands that need no entry host.
#pragma once

#include "tools/Options.h"
#include "tools/Outcome.h"

#include <string_view>

namespace banyanpick::tools {

/// `check FILE`. Throws Error(BadInput) with every problem of the file.
Outcome check(const Options &Opts, std::string_view FileText);

/// `digest`: the salted hash of the secret in \p PresentedKey, `NAME.SECRET`,
/// or of a new one. Throws Error(BadInput) when the key is malformed.
Outcome digest(const Options &Opts, std::string_view PresentedKey);

/// `fields`: the page of what may stand in a file of declarations.
Outcome fields();

/// `keys`: a new CURVE key pair for an entry host.
Outcome keys();

} // namespace banyanpick::tools
