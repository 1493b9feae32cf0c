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
  Task<Event> pollLoad(PollLoad Action);
  /// Nothing when the upstream does not answer.
  Task<std::optional<Event>> pollCacheEvents(PollCacheEvents Action);
  /// \p Stream is the id under which the upstream knows the attempt.
  Task<Event> cancel(CancelAttempt Action, AttemptId Stream);
  Task<Event> takeHold(TakeHold Action);
  Task<void> releaseHold(ReleaseHold Action);
  /// Does not send it once its validity has passed at \p Now.
  Task<Event> order(OrderUpstream Action, Time Now);

private:
  HostId Self;
  PlatformSettings Values;
  HttpClient Client;
};

} // namespace banyanpick
