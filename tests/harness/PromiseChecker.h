/// \file
/// Checks the guarantees of a deployment against the harness's own records.
#pragma once

#include "harness/VirtualDeployment.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace banyanpick {

/// Checks guarantees such as deadlines, complete answers and single runs. Call
/// check() often while a deployment runs, and checkIdle() when all faults are
/// cleared and no request was sent for a while. Broken guarantees are recorded
/// as violations of the deployment.
class PromiseChecker {
public:
  explicit PromiseChecker(VirtualDeployment &Deployment)
      : Deployment(Deployment) {}

  void check();
  void checkIdle();

  /// Called when an operator is told that the change at \p Offset is accepted.
  void noteAccepted(LogOffset Offset);

  /// Returns how many checks found an admitted request beyond its deadline
  /// whose host had been frozen. These are not reported as violations.
  std::size_t lateWhileFrozen() const { return this->LateWhileFrozen; }

private:
  /// State of a host at the last check. Life is its incarnation.
  struct HostObservation {
    Incarnation Life;
    LogOffset InForce = 0;
    Time HealthySince{}; ///< Without interruption; see isHealthy().
  };
  struct AcceptedChange {
    LogOffset Offset = 0;
    Time At{};
  };

  void checkCaller(CallerRecord &Record);
  void checkCompleteAnswer(const CallerRecord &Record,
                           const CompleteAnswer &Answer);
  void checkRuns();
  void checkCatalogue(VirtualHost &Host);
  void checkOrders();
  void reportViolation(const std::string &Problem);
  bool isHealthy(const VirtualHost &Host) const;

  VirtualDeployment &Deployment;
  std::map<std::string, HostObservation> ObservedHosts;
  std::map<LogOffset, EntryMap> EntriesByOffset;
  std::vector<AcceptedChange> AcceptedChanges;
  std::set<std::string> ReportedViolations;
  std::size_t FirstOpen = 0; ///< No caller before this index is open.
  std::size_t LateWhileFrozen = 0;
};

} // namespace banyanpick
