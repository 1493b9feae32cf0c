/// \file
/// The declarations that tests of gateways serve by.
#pragma once

#include "gateway/Configuration.h"
#include "settings/Settings.h"

#include <memory>

namespace banyanpick {

/// Four routes at `a.example`: `/safe/` (repeatable, two attempts), `/once/`
/// (at most once), `/stream/` and, for long prompts, `/review/` (resumable, two
/// attempts) to the service `desk`, or, for streams, to the model engines
/// `ring`. One team, one key.
std::shared_ptr<const GatewayConfiguration>
gatewayDeclarations(std::uint64_t Version);

/// Default settings of hosts that find each other by gossip.
Settings gatewaySettingsForTests();

} // namespace banyanpick
