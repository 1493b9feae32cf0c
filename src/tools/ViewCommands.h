/// \file
/// The commands that show the state of the deployment, and the release of
/// quarantined requests.
#pragma once

#include "tools/OperatorClient.h"
#include "tools/Outcome.h"

namespace banyanpick::tools {

/// `show`: returns the catalogue in force in INI format.
Outcome show(OperatorClient &Client);

/// `history`: returns the change sets from an offset on, with their verdicts.
Outcome history(OperatorClient &Client, const Options &Opts);

/// `status`: returns hosts, upstreams and quarantined requests. The remaining
/// times of the quarantine are relative to \p Now.
Outcome status(OperatorClient &Client, Time Now);

/// `resolve`: returns the hosts that callers are directed to.
Outcome resolve(OperatorClient &Client, const Options &Opts);

/// `verdict CHANGE`: returns the verdict on a change set.
Outcome verdict(OperatorClient &Client, const Options &Opts);

/// `quarantine release FINGERPRINT`: allows a quarantined request again.
Outcome quarantine(OperatorClient &Client, const Options &Opts);

} // namespace banyanpick::tools
