/// \file
/// HTTP client for short calls to upstreams: load, cache events, cancellation,
/// holds and orders.
#pragma once

#include "http/HttpClient.h"
#include "kernel/Action.h"
#include "native/PlatformSettings.h"

namespace banyanpick {

/// Performs actions on upstreams. Each call returns the event that answers the
/// action. Used on one thread.
class UpstreamClient {
public:
  UpstreamClient(const net::any_io_executor &Executor, HostId Self,
                 PlatformSettings Values);

  /// Returns LoadReported or LoadPollFailed.
  Task<Event> pollLoad(PollLoad Action);
  /// Returns nothing if the upstream does not send a valid answer.
  Task<std::optional<Event>> pollCacheEvents(PollCacheEvents Action);
  /// \p Stream is the id under which the upstream knows the attempt.
  Task<Event> cancel(CancelAttempt Action, AttemptId Stream);
  Task<Event> takeHold(TakeHold Action);
  Task<void> releaseHold(ReleaseHold Action);
  /// Does not send the order if it is no longer valid at \p Now.
  Task<Event> order(OrderUpstream Action, Time Now);

private:
  HostId Self;
  PlatformSettings Values;
  HttpClient Client;
};

} // namespace banyanpick
