/// \file
/// Estimates how reliably this host detects the failure of other hosts.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace banyanpick {

/// The local health score of this host. A host that runs late itself processes
/// answers late and would suspect all other hosts. Signs of this lengthen its
/// suspicion timeout (Dadgar, Phillips, Currey, Lifeguard: Local Health
/// Awareness for More Accurate Failure Detection, 2018). Without such signs the
/// timeout becomes shorter again.
class LocalHealth {
public:
  /// Records that a heartbeat was sent \p HeartbeatDelay after its planned
  /// time. \p Interval is the planned time between two heartbeats.
  void noteHeartbeat(Duration HeartbeatDelay, Duration Interval, Time Now);
  /// Records that this host suspected a live host, or was suspected itself.
  void noteFalseSuspicion(Time Now) { this->worsen(Now); }
  /// Returns the factor by which this host's suspicion timeout is longer than
  /// usual.
  double timeoutMultiplier() const { return 1 + this->Score; }
  /// Returns how late this host runs, as reported to other hosts.
  Duration lateness() const { return this->Lateness; }

private:
  void worsen(Time Now);

  std::uint32_t Score = 0;
  Time ChangedAt{};
  Duration Lateness{};
};

} // namespace banyanpick
