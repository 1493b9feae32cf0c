/// \file
/// Measures the slopes from which docs/CAPACITY.md is calculated.
#include "DecisionSlopes.h"
#include "PeerSlopes.h"
#include "StateSlopes.h"

#include <gflags/gflags.h>
#include <string>

DEFINE_string(only, "",
              "decision, idle, traffic, force, state or appends; "
              "empty: all");

namespace {

bool isSelected(const std::string &Part) {
  return FLAGS_only.empty() || FLAGS_only == Part;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  if (isSelected("decision")) {
    banyanpick::measureDecisionAgainstEngines();
    banyanpick::measureDecisionAgainstTeams();
  }
  if (isSelected("idle"))
    banyanpick::measureIdleAgainstEngines();
  if (isSelected("state")) {
    banyanpick::measureCatalogueMemory();
    banyanpick::measureRecovery();
  }
  if (isSelected("appends")) {
    banyanpick::measureAppends();
    banyanpick::measureAppendsOfManyHosts();
  }
  if (isSelected("force"))
    banyanpick::measureInForceAgainstHosts();
  if (isSelected("traffic")) {
    banyanpick::measureTrafficAgainstHosts();
    banyanpick::measureTrafficAgainstEngines();
  }
  return 0;
}
