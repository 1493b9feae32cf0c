/// \file
/// Processing time of one request in the kernel, by number of engines and
/// teams.
#pragma once

namespace banyanpick {

void measureDecisionAgainstEngines();
void measureDecisionAgainstTeams();
/// Processor time per second of an idle host, by number of engines.
void measureIdleAgainstEngines();

} // namespace banyanpick
