/// \file
/// Builds the engine selector's input, the attempt and the dispatch order of a
/// relayed request.
#pragma once

#include "plugins/relays/RunningRelay.h"

#include <span>

namespace banyanpick {

/// How long a stream that has begun may stay silent before it is resumed at
/// another engine.
struct StreamSilenceLimits {
  Duration SinglePrefill{}; ///< After prefill on one engine.
  Duration JointPrefill{};  ///< After prefill on several engines.
};

/// Returns the reason for the caller.
std::string_view reasonOf(const RetryLater &Refusal);

/// Returns what the request needs from an engine now. The result refers to
/// \p Relay and \p Excluded, which must outlive it.
EngineRequirements engineRequirements(const RunningRelay &Relay,
                                      std::span<const UpstreamId> Excluded,
                                      Time Now);

RelayAttempt makeAttempt(const RunningRelay &Relay,
                         const SelectedEngine &Chosen, const AttemptId &Id,
                         Time Now);

/// Returns the order to send the attempt to the engine at \p EngineAddress.
DispatchRelay makeDispatch(const RunningRelay &Relay,
                           const RelayAttempt &Attempt,
                           const SelectedEngine &Chosen,
                           const Address &EngineAddress,
                           const StreamSilenceLimits &Limits);

/// Returns an attempt that forwards the request to the host.
RelayAttempt makeForward(const RunningRelay &Relay, const HostId &Peer,
                         const AttemptId &Id, Time Now);

/// Returns the order to forward the request to the host at \p PeerAddress.
DispatchRelay makeForwardDispatch(const RunningRelay &Relay,
                                  const RelayAttempt &Attempt,
                                  const Address &PeerAddress);

} // namespace banyanpick
