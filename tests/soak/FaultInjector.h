/// \file
/// Does to a deployment what a plan says, and undoes it.
#pragma once

#include "process/GatewayDeployment.h"
#include "soak/FaultPlan.h"
#include "soak/StoreWrites.h"

#include <chrono>
#include <set>

namespace banyanpick::soak {

/// The proxies before and behind the hosts.
struct SoakLinks {
  std::vector<std::unique_ptr<LoopbackProxy>> Callers;   ///< One a host.
  std::vector<std::unique_ptr<LoopbackProxy>> Stores;    ///< One a host.
  std::vector<std::unique_ptr<LoopbackProxy>> Upstreams; ///< One an upstream.
};

class FaultInjector {
public:
  FaultInjector(process::GatewayDeployment &Deployed, SoakLinks &Links)
      : Deployed(Deployed), Links(Links) {}

  void inject(const Disruption &Fault);
  /// Undoes it; false when it must be tried again soon.
  bool undo(const Disruption &Fault);
  /// Processes that ended though nobody ended them, and stops that went wrong.
  void checkUnexpectedExits(std::vector<std::string> &Violations);

  /// Writes the next version of the configuration.
  void configure(bool Extra);
  /// Waits until the store took everything.
  void waitForStore() { this->Writes.waitUntilDone(); }

private:
  process::GatewayDeployment &Deployed;
  SoakLinks &Links;
  std::set<std::size_t> Stopping; ///< Hosts asked to stop, not killed since.
  std::set<std::size_t> DownHosts;
  std::set<std::size_t> DownUpstreams;
  std::vector<std::string> StopProblems;
  std::uint64_t Version = 1;
  StoreWrites Writes;
};

} // namespace banyanpick::soak
