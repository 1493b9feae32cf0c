/// \file
/// Decides which messages of peers are accepted while too many events wait.
#pragma once

#include "base/Time.h"
#include "kernel/PeerMessage.h"

namespace banyanpick {

/// An overloaded host drops messages of peers, which repeat what is important.
/// It still accepts a few heartbeats, without their gossip, because they alone
/// tell it that it lacks a version of the configuration or that a zone is
/// evacuated.
class OverloadFilter {
public:
  /// Returns whether the message is accepted, and removes from it what may be
  /// lost.
  bool accept(PeerMessage &Message, Time Now);

private:
  Time NextHeartbeat{}; ///< When the next heartbeat is accepted.
};

} // namespace banyanpick
