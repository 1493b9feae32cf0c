/// \file
/// The commands that do not call an entry host.
#pragma once

#include "tools/Options.h"
#include "tools/Outcome.h"

#include <string_view>

namespace banyanpick::tools {

/// `check FILE`: checks a file of declarations. Throws Error(BadInput) with
/// every problem of the file.
Outcome check(const Options &Opts, std::string_view FileText);

/// `digest`: returns the salted hash of the secret in \p PresentedKey, which
/// has the form `NAME.SECRET`, or of a new key. Throws Error(BadInput) if the
/// key is malformed.
Outcome digest(const Options &Opts, std::string_view PresentedKey);

/// `fields`: returns the page with the keys of a file of declarations.
Outcome fields();

/// `keys`: returns a new CURVE key pair for an entry host.
Outcome keys();

} // namespace banyanpick::tools
