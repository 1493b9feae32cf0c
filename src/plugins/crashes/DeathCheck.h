/// \file
/// Decides when engines that lost connections are asked whether they live.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <map>
#include <vector>

namespace banyanpick {

/// An engine that loses a connection is asked for a report at once, and again
/// while its reports are lost, as a process that dies may accept connections
/// for a moment. It is asked at most once in an interval and a few times in
/// all.
class DeathCheck {
public:
  DeathCheck() = default;
  /// \p Interval is the shortest time between two requests to one engine.
  explicit DeathCheck(Duration Interval) : Interval(Interval) {}

  /// Returns whether to ask the engine now.
  bool connectionLost(const UpstreamId &Engine, Time Now);
  /// Called when a report was lost. The engine is asked again later.
  void reportLost(const UpstreamId &Engine, Time Now);
  /// Called when the engine answered, or is known to have died.
  void remove(const UpstreamId &Engine) { this->Checks.erase(Engine); }

  /// Returns the engines to ask now.
  std::vector<UpstreamId> takeDue(Time Now);
  /// Returns when takeDue() returns an engine next.
  Time nextDue() const { return this->NextDue; }

private:
  struct Check {
    Time AskedAt{};
    Time NextAt = Never;
    std::uint32_t Requests = 0;
  };

  /// Asks the engine again at \p At or earlier, unless it was asked too often.
  void askAgain(Check &Current, Time At);

  Duration Interval{};
  std::map<UpstreamId, Check> Checks;
  Time NextDue = Never; ///< No later than the first NextAt.
};

} // namespace banyanpick
