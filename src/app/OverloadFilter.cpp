#include "app/OverloadFilter.h"

namespace banyanpick {

namespace {

/// Minimum time between two heartbeats that are accepted.
constexpr milliseconds HeartbeatInterval(100);

} // namespace

bool OverloadFilter::accept(PeerMessage &Message, Time Now) {
  auto *Beat = std::get_if<Heartbeat>(&Message.Body);
  if (!Beat || Now < this->NextHeartbeat)
    return false;
  this->NextHeartbeat = Now + HeartbeatInterval;
  Beat->Updates.clear();
  Beat->KnownHosts.clear();
  return true;
}

} // namespace banyanpick
