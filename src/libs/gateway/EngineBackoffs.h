/// \file
/// The rests that engines asked for.
#pragma once

#include "base/Time.h"
#include "kernel/Upstream.h"

#include <map>

namespace banyanpick {

/// When each engine's rest ends. Of several rests the latest end counts: a
/// later answer that asks for less does not end one.
class EngineBackoffs {
public:
  /// Whether that is news worth telling: a rest that begins, or becomes longer
  /// by more than a few requests that were on their way make it.
  bool take(const UpstreamId &Engine, Time Until, Time Now);
  /// When the engine's rest is over; not after \p Now when it has none.
  Time until(const UpstreamId &Engine) const;
  bool isBackingOff(const UpstreamId &Engine, Time Now) const {
    return Now < this->until(Engine);
  }
  /// All rests, also some that are over.
  const std::map<UpstreamId, Time> &ends() const { return this->Ends; }
  /// Forgets the rests that are over.
  void age(Time Now);

private:
  std::map<UpstreamId, Time> Ends;
};

} // namespace banyanpick
