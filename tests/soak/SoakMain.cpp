/// \file
/// The soak as a program. Runs the fault plan of one seed and prints a summary
/// line at the end:
///   soak: seed=N sent=N whole=N refused=N broken=N faults=N violations=N
#include "soak/SoakRun.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "what the plan is drawn from");
DEFINE_uint32(seconds, 10, "how long faults are injected");
DEFINE_uint32(hosts, 3, "entry hosts");
DEFINE_uint32(upstreams, 4, "upstreams");
DEFINE_uint32(callers, 12, "callers at the same time");

int main(int Count, char **Values) {
  using namespace banyanpick;
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  const soak::SoakReport Report =
      soak::runSoak(FLAGS_seed, seconds(FLAGS_seconds),
                    {FLAGS_hosts, FLAGS_upstreams, FLAGS_callers});
  const bool Good = Report.Violations.empty();
  if (!Good)
    for (const std::string &Fault : Report.Plan)
      fmt::print("fault: {}\n", Fault);
  for (const std::string &Violation : Report.Violations)
    fmt::print("violation: {}\n", Violation);
  if (!Good)
    fmt::print("logs: {}\n", Report.Logs);
  fmt::print("soak: seed={} sent={} whole={} refused={} broken={} faults={} "
             "violations={}\n",
             FLAGS_seed, Report.Sent, Report.Correct, Report.Refused,
             Report.Interrupted, Report.Faults, Report.Violations.size());
  return Good ? 0 : 1;
}
