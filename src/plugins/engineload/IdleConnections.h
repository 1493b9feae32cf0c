/// \file
/// Predicts to which engines this host has an idle open connection.
#pragma once

#include "gateway/RelayedRequest.h"

#include <map>
#include <vector>

namespace banyanpick {

/// Tracks the connections that attempts of this host leave open. The pool of
/// connections belongs to the traffic thread, and the outcomes of attempts
/// already tell control all that it needs: an answer that was read to its end
/// leaves its connection open, and the next attempt takes it. Meant for few
/// requests per host and many engines, where most requests would open a
/// connection.
class IdleConnections {
public:
  IdleConnections() = default;
  /// \p KeptFor is the time during which an idle connection is reused.
  explicit IdleConnections(Duration KeptFor) : KeptFor(KeptFor) {}

  /// Called when an attempt is sent, which takes an idle connection. Returns
  /// whether there was one.
  bool take(const UpstreamId &Engine, Time Now);
  /// Called when an attempt ended.
  void attemptEnded(const UpstreamId &Engine, const RelayOutcome &Outcome,
                    Time Now);
  void forget(const UpstreamId &Engine) { this->ById.erase(Engine); }
  bool hasIdle(const UpstreamId &Engine, Time Now) const;

private:
  Duration KeptFor{};
  /// The time until which each idle connection is reused, the latest last.
  std::map<UpstreamId, std::vector<Time>> ById;
};

} // namespace banyanpick
