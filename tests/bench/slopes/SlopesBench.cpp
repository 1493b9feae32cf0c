/// \file
/// Measures the slopes from which docs/CAPACITY.md is worked out.
#include "DecisionSlopes.h"
#include "PeerSlopes.h"
#include "StateSlopes.h"

#include <gflags/gflags.h>
#include <string>

DEFINE_string(only, "",
              "decision, idle, traffic, force, state or appends; "
              "empty: all");

namespace {

bool wanted(const std::string &Part) {
  return FLAGS_only.empty() || FLAGS_only == Part;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  if (wanted("decision")) {
    banyanpick::measureDecisionAgainstEngines();
    banyanpick::measureDecisionAgainstTeams();
  }
  if (wanted("idle"))
    banyanpick::measureIdleAgainstEngines();
  if (wanted("state")) {
    banyanpick::measureCatalogueMemory();
    banyanpick::measureRecovery();
  }
  if (wanted("appends")) {
    banyanpick::measureAppends();
    banyanpick::measureAppendsOfManyHosts();
  }
  if (wanted("force"))
    banyanpick::measureInForceAgainstHosts();
  if (wanted("traffic")) {
    banyanpick::measureTrafficAgainstHosts();
    banyanpick::measureTrafficAgainstEngines();
  }
  return 0;
}
