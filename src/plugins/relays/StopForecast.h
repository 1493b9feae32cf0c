/// \file
/// Decides which requests a stopping host may still send to an engine.
#pragma once

#include "base/Time.h"

#include <optional>

namespace banyanpick {

/// What a stopping host knows of a request that it has not sent yet.
struct StoppingRequest {
  Duration UntilDeadline{};
  Duration UntilStop{}; ///< Until the host ends all requests.
  /// The time that the answer is expected to take at most, from the recent
  /// answers of its route. The next one may take longer.
  std::optional<Duration> Expected;
  bool IsStream = false; ///< Once it has begun, it can only be cut off.
  /// Callers have had the time to learn of another host. Those that still come
  /// have found none, or do not look for one.
  bool IsLate = false;
  bool OtherHostStays = false;
};

/// Returns whether the request may be sent. One that ends by its deadline
/// always gets a final answer. For all others the end of the answer is only
/// probable: late ones are sent only if no other host can take them and the
/// host can still answer them completely when it stops.
bool maySendBeforeStop(const StoppingRequest &Request);

} // namespace banyanpick
