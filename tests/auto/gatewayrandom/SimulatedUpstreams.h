/// \file
/// The upstreams of a virtual deployment of gateways, and what they ran.
#pragma once

#include "base/Random.h"
#include "gateway/GatewayEvent.h"

#include <map>
#include <vector>

namespace banyanpick {

/// How an upstream treats what it is sent.
enum class UpstreamBehavior { Healthy, Refuses, Fails, Silent, Cuts };

struct SimulatedUpstream {
  EngineRecord Record;
  std::uint64_t Life = 1; ///< Raised when the process ends.
  bool Up = true;
  UpstreamBehavior Behavior = UpstreamBehavior::Healthy;
};

/// How one try ends: after how long, and whether it ran.
struct AttemptPlan {
  bool Ran = false;
  bool Answers = true;                   ///< Else nothing comes, ever.
  Duration BeganAfter = Duration::max(); ///< Streams only.
  Duration EndsAfter{};
  RelayOutcome Outcome;
};

class SimulatedUpstreams {
public:
  std::vector<SimulatedUpstream> All;

  /// The process that listens at the address, or null.
  SimulatedUpstream *at(const Address &Where);
  /// What the upstream at the order's address does with it.
  AttemptPlan planAttempt(const DispatchRelay &Order, Random &Numbers);
  /// Another process takes the address; its id is new.
  void replace(SimulatedUpstream &Each);

private:
  std::uint64_t Replacements = 0;
};

} // namespace banyanpick
