/// \file
/// What must always hold in a deployment, checked by the harness's own counts.
#pragma once

#include "harness/VirtualDeployment.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace banyanpick {

/// Call check() often while a deployment runs and checkQuiet() when all faults
/// are mended and nothing was asked for a while; broken promises become
/// violations of the deployment.
class PromiseChecker {
public:
  explicit PromiseChecker(VirtualDeployment &World) : World(World) {}

  void check();
  void checkQuiet();

  /// An operator was told at this moment that the offset is accepted.
  void noteAccepted(LogOffset Offset);

  /// Requests admitted later than their promise allows are counted here, and
  /// not as violations, when their host was frozen.
  std::size_t excused() const { return this->Excused; }

private:
  /// What was seen of one life of a host.
  struct SeenHost {
    Incarnation Life;
    LogOffset InForce = 0;
    Time WellSince{}; ///< Neither frozen nor cut off since then.
  };
  struct Accepted {
    LogOffset Offset = 0;
    Time At{};
  };

  void checkCaller(CallerRecord &Of);
  void checkWhole(const CallerRecord &Of, const CompleteAnswer &Answer);
  void checkRuns();
  void checkCatalogue(VirtualHost &Host);
  void checkOrders();
  void report(const std::string &What);
  bool isWell(const VirtualHost &Host) const;

  VirtualDeployment &World;
  std::map<std::string, SeenHost> Seen;
  std::map<LogOffset, EntryMap> Folds;
  std::vector<Accepted> Promised;
  std::set<std::string> Reported;
  std::size_t FirstOpen = 0; ///< Callers before it have been judged.
  std::size_t Excused = 0;
};

} // namespace banyanpick
