/// \file
/// `banyanpick apply` and `diff`.
#pragma once

#include "tools/OperatorClient.h"
#include "tools/Outcome.h"

namespace banyanpick::tools {

/// Brings the author's entries to what the file \p FileText declares and waits
/// until that is in force on every live host. \p Fresh is the change set's id
/// unless the options give one. Throws Error(BadInput) with every problem of
/// the file.
Outcome apply(OperatorClient &Client, Clock &WallClock, const Options &Opts,
              std::string_view FileText, const ChangeId &NewId);

/// What apply() would change.
Outcome diff(OperatorClient &Client, const Options &Opts,
             std::string_view FileText);

} // namespace banyanpick::tools
