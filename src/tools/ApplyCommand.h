/// \file
/// The commands `apply` and `diff` of the command line.
#pragma once

#include "tools/OperatorClient.h"
#include "tools/Outcome.h"

namespace banyanpick::tools {

/// Changes the entries of the key's owner to what \p FileText declares. Waits
/// until the change is in force on every live host, or until the timeout of the
/// options. \p NewId is the id of the change set unless the options give one.
/// Throws Error(BadInput) with every problem of the file.
Outcome apply(OperatorClient &Client, Clock &WallClock, const Options &Opts,
              std::string_view FileText, const ChangeId &NewId);

/// Describes what apply() would change.
Outcome diff(OperatorClient &Client, const Options &Opts,
             std::string_view FileText);

} // namespace banyanpick::tools
