/// \file
/// The commands that show something of the deployment.
#pragma once

#include "tools/OperatorClient.h"
#include "tools/Outcome.h"

namespace banyanpick::tools {

/// `show`: the catalogue in force, in INI.
Outcome show(OperatorClient &Client);

/// `history`: the change sets from an offset on with their verdicts.
Outcome history(OperatorClient &Client, const Options &Opts);

/// `status`: hosts, upstreams and quarantine; \p Now dates the expiries.
Outcome status(OperatorClient &Client, Time Now);

/// `resolve`: the hosts that callers are told to use.
Outcome resolve(OperatorClient &Client, const Options &Opts);

/// `verdict CHANGE`: what became of a change set.
Outcome verdict(OperatorClient &Client, const Options &Opts);

/// `quarantine release FINGERPRINT`.
Outcome quarantine(OperatorClient &Client, const Options &Opts);

} // namespace banyanpick::tools
