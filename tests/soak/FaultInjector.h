/// \file
/// Injects the faults of a plan into a deployment and undoes them.
#pragma once

#include "process/GatewayDeployment.h"
#include "soak/FaultPlan.h"
#include "soak/StoreWrites.h"

#include <chrono>
#include <set>

namespace banyanpick::soak {

/// The proxies between callers, hosts, store and upstreams.
struct SoakLinks {
  std::vector<std::unique_ptr<LoopbackProxy>> Callers;   ///< One per host.
  std::vector<std::unique_ptr<LoopbackProxy>> Stores;    ///< One per host.
  std::vector<std::unique_ptr<LoopbackProxy>> Upstreams; ///< One per upstream.
};

/// Injects and undoes faults. Used from one thread.
class FaultInjector {
public:
  FaultInjector(process::GatewayDeployment &Gateway, SoakLinks &Links)
      : Gateway(Gateway), Links(Links) {}

  void inject(const Disruption &Fault);
  /// Undoes a fault. Returns false if the caller must retry later, because
  /// the host is still stopping.
  bool undo(const Disruption &Fault);
  /// Appends the hosts that ended without a fault and the planned stops that
  /// failed.
  void checkUnexpectedExits(std::vector<std::string> &Violations);

  /// Writes the next version of the configuration.
  void configure(bool Extra);
  /// Waits until all writes to the store are done.
  void waitForStore() { this->Writes.waitUntilDone(); }

private:
  process::GatewayDeployment &Gateway;
  SoakLinks &Links;
  std::set<std::size_t> Stopping; ///< Hosts asked to stop and not killed since.
  std::set<std::size_t> DownHosts;
  std::set<std::size_t> DownUpstreams;
  std::vector<std::string> StopProblems;
  std::uint64_t Version = 1;
  StoreWrites Writes;
};

} // namespace banyanpick::soak
