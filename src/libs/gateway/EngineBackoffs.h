/// \file
/// The backoffs that engines requested.
#pragma once

#include "base/Time.h"
#include "kernel/Upstream.h"

#include <map>

namespace banyanpick {

/// Tracks when the backoff of each engine ends. The latest end time counts: a
/// later answer that asks for less does not shorten a backoff.
class EngineBackoffs {
public:
  /// Records a requested backoff. Returns true if the change should be
  /// reported: a backoff begins, or becomes longer by more than requests that
  /// were already in flight would extend it.
  bool take(const UpstreamId &Engine, Time Until, Time Now);
  /// Returns when the engine's backoff ends. Returns a time not later than now
  /// if the engine is not backing off.
  Time until(const UpstreamId &Engine) const;
  bool isBackingOff(const UpstreamId &Engine, Time Now) const {
    return Now < this->until(Engine);
  }
  /// Returns the end times of all backoffs. Some of them may have ended.
  const std::map<UpstreamId, Time> &ends() const { return this->Ends; }
  /// Removes the backoffs that have ended.
  void age(Time Now);

private:
  std::map<UpstreamId, Time> Ends;
};

} // namespace banyanpick
