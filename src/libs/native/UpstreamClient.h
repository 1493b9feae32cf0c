/// \file
/// Short calls to upstreams: load, cache events, cancels, holds and orders.
#pragma once

#include "http/HttpClient.h"
#include "kernel/Action.h"
#include "native/PlatformSettings.h"

namespace banyanpick {

/// Used on one thread. Each call gives the event that answers the action.
class UpstreamClient {
public:
  UpstreamClient(const net::any_io_executor &Executor, HostId Self,
                 PlatformSettings Values);

  /// LoadReported or LoadPollFailed.
  Task<Event> pollLoad(PollLoad Wanted);
  /// Nothing when the upstream does not answer.
  Task<std::optional<Event>> pollCacheEvents(PollCacheEvents Wanted);
  /// \p Stream is the id under which the upstream knows the attempt.
  Task<Event> cancel(CancelAttempt Wanted, AttemptId Stream);
  Task<Event> takeHold(TakeHold Wanted);
  Task<void> releaseHold(ReleaseHold Wanted);
  /// Does not send it once its validity has passed at \p Now.
  Task<Event> order(OrderUpstream Wanted, Time Now);

private:
  HostId Self;
  PlatformSettings Values;
  HttpClient Client;
};

} // namespace banyanpick
