/// \file
/// Traffic between entry hosts, by number of hosts.
#pragma once

namespace banyanpick {

/// Encoded bytes per second that one host sends, by number of hosts.
void measureTrafficAgainstHosts();
/// Encoded bytes per second that one host of a region sends, by number of
/// engines in the region.
void measureTrafficAgainstEngines();
/// Time from the append of a change to the log until the change is in force on
/// the last host.
void measureInForceAgainstHosts();

} // namespace banyanpick
