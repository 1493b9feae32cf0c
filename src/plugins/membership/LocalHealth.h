/// \file
/// How far this host can trust what it takes for the silence of others.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace banyanpick {

/// A host that runs late itself takes answers in late, and would accuse all
/// others. Signs of that lengthen the time that it waits before it doubts
/// anybody (Dadgar, Phillips, Currey, Lifeguard: Local Health Awareness for
/// More Accurate Failure Detection, 2018); in calm it shortens again.
class LocalHealth {
public:
  /// A heartbeat went out so much later than planned, with \p Interval between
  /// two of them.
  void noteHeartbeat(Duration Lateness, Duration Interval, Time Now);
  /// Somebody whom this host doubted lives, or this host was doubted.
  void noteFalseSuspicion(Time Now) { this->worsen(Now); }
  /// How many times longer than usual it waits.
  double timeoutMultiplier() const { return 1 + this->Score; }
  /// How late it runs, as it tells others.
  Duration lateness() const { return this->Lateness; }

private:
  void worsen(Time Now);

  std::uint32_t Score = 0;
  Time ChangedAt{};
  Duration Lateness{};
};

} // namespace banyanpick
