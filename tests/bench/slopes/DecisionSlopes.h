/// \file
/// What one request costs the kernel, against engines known and teams.
#pragma once

namespace banyanpick {

void measureDecisionAgainstEngines();
void measureDecisionAgainstTeams();
/// Processor time a second of a host that serves nothing, against engines.
void measureIdleAgainstEngines();

} // namespace banyanpick
