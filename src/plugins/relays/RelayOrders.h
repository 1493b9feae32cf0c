/// \file
/// What is asked of the selector and ordered of the traffic for one try.
#pragma once

#include "plugins/relays/RunningRelay.h"

#include <span>

namespace banyanpick {

/// How long a stream may give nothing once it has begun; then it goes on
/// elsewhere.
struct StreamSilence {
  Duration Alone{};  ///< After a prompt that one engine reads,
  Duration Shared{}; ///< and after one that several read.
};

/// The upstream that the request wants now. \p Excluded must outlive it.
EngineRequirements wantedFor(const RunningRelay &Of,
                             std::span<const UpstreamId> Excluded, Time Now);

RelayAttempt makeTry(const RunningRelay &Of, const SelectedEngine &Chosen,
                     const AttemptId &Id, Time Now);

/// The order to send the try to the upstream at \p At.
DispatchRelay makeOrder(const RunningRelay &Of, const RelayAttempt &Try,
                        const SelectedEngine &Chosen, const Address &At,
                        const StreamSilence &Most);

} // namespace banyanpick
