/// \file
/// What must always hold in a deployment, checked by the harness's own counts.
#pragma once

#include "harness/VirtualDeployment.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace banyanpick {

/// Call check() often while a deployment runs and checkIdle() when all faults
/// are mended and nothing was asked for a while; broken promises become
/// violations of the deployment.
class PromiseChecker {
public:
  explicit PromiseChecker(VirtualDeployment &Deployment)
      : Deployment(Deployment) {}

  void check();
  void checkIdle();

  /// An operator was told at this moment that the offset is accepted.
  void noteAccepted(LogOffset Offset);

  /// Requests admitted later than their promise allows are counted here, and
  /// not as violations, when their host was frozen.
  std::size_t lateWhileFrozen() const { return this->LateWhileFrozen; }

private:
  /// What was seen of one life of a host.
  struct HostObservation {
    Incarnation Life;
    LogOffset InForce = 0;
    Time HealthySince{}; ///< Neither frozen nor cut off since then.
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
  std::size_t FirstOpen = 0; ///< Callers before it have been judged.
  std::size_t LateWhileFrozen = 0;
};

} // namespace banyanpick
