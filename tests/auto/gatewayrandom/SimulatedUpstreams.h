/// \file
/// The upstreams of a simulated deployment of gateways.
#pragma once

#include "base/Random.h"
#include "gateway/GatewayEvent.h"

#include <map>
#include <vector>

namespace banyanpick {

/// How an upstream handles the requests it receives.
enum class UpstreamBehavior { Healthy, Refuses, Fails, Silent, Cuts };

struct SimulatedUpstream {
  EngineRecord Record;
  std::uint64_t Life = 1; ///< Incremented when the process ends.
  bool Up = true;
  UpstreamBehavior Behavior = UpstreamBehavior::Healthy;
};

/// The planned course of one attempt: its outcome, its duration and whether the
/// request runs.
struct AttemptPlan {
  bool Ran = false;
  bool Answers = true;                   ///< False: no answer is ever sent.
  Duration BeganAfter = Duration::max(); ///< Streams only.
  Duration EndsAfter{};
  RelayOutcome Outcome;
};

class SimulatedUpstreams {
public:
  std::vector<SimulatedUpstream> All;

  /// Returns the process that listens at the address, or null.
  SimulatedUpstream *at(const Address &Where);
  /// Plans the attempt at the upstream that listens at the order's address.
  AttemptPlan planAttempt(const DispatchRelay &Order, Random &Numbers);
  /// Replaces the process at the address by another one with a new id.
  void replace(SimulatedUpstream &Upstream);

private:
  std::uint64_t Replacements = 0;
};

} // namespace banyanpick
