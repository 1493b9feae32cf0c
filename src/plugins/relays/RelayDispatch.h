/// \file
/// What is asked of the selector and ordered of the traffic for one try.
#pragma once

#include "plugins/relays/RunningRelay.h"

#include <span>

namespace banyanpick {

/// How long a stream may give nothing once it has begun; then it goes on
/// elsewhere.
struct StreamSilenceLimits {
  Duration SinglePrefill{}; ///< After a prompt that one engine reads,
  Duration JointPrefill{};  ///< and after one that several read.
};

/// The upstream that the request wants now. \p Excluded must outlive it.
EngineRequirements engineRequirements(const RunningRelay &Relay,
                                      std::span<const UpstreamId> Excluded,
                                      Time Now);

RelayAttempt makeAttempt(const RunningRelay &Relay,
                         const SelectedEngine &Chosen, const AttemptId &Id,
                         Time Now);

/// The order to send the try to the upstream at \p At.
DispatchRelay makeDispatch(const RunningRelay &Relay,
                           const RelayAttempt &Attempt,
                           const SelectedEngine &Chosen, const Address &At,
                           const StreamSilenceLimits &Limits);

} // namespace banyanpick
