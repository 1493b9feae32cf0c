/// \file
/// What entry hosts send each other, against their number.
#pragma once

namespace banyanpick {

/// Encoded bytes a second that one host sends, against hosts.
void measureTrafficAgainstHosts();
/// The same of a region's hosts, against the region's engines.
void measureTrafficAgainstEngines();
/// From a change's place in the log to its being in force on the last host.
void measureInForceAgainstHosts();

} // namespace banyanpick
