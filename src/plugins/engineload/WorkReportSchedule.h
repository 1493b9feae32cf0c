/// \file
/// When peers are told what runs on upstreams.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstddef>

namespace banyanpick {

/// Bounds what a host tells its peers. Long work is told soon, as it decides
/// where the next long prompt can be read in time; short work waits until the
/// messages fit the rate.
class WorkReportSchedule {
public:
  WorkReportSchedule() = default;
  /// \p PerSecond messages are sent for short work, at most.
  WorkReportSchedule(Duration Shortest, double PerSecond)
      : Shortest(Shortest), PerSecond(PerSecond) {}

  /// Something changed; \p Soon: of long work.
  void noteChange(bool Soon, std::size_t Peers, Time Now) {
    const Duration Spread =
        fromSeconds(static_cast<double>(Peers) / this->PerSecond);
    const Duration Pause =
        Soon ? this->Shortest : std::max(this->Shortest, Spread);
    this->Next = std::min(this->Next, std::max(Now, this->Last + Pause));
  }
  /// Peers must know before they decide the next time.
  void noteUrgent(Time Now) { this->Next = Now; }
  /// What a host told of, which decides when it tells it again.
  enum class Told {
    Nothing,
    Work,   ///< As a message may be lost, and what is old counts for nothing.
    Waiting ///< Prompts in the lane, too, which count for less long.
  };
  void noteTold(Told Of, Time Now) {
    this->Last = Now;
    this->Next = Of == Told::Nothing ? Never
                 : Of == Told::Work  ? Now + RepeatInterval
                                     : Now + LaneInterval;
  }
  Time next() const { return this->Next; }

private:
  /// A third of the age at which peers disregard what was told.
  static constexpr milliseconds RepeatInterval{500};

  /// A third of the age at which prompts that wait at a peer are disregarded.
  static constexpr milliseconds LaneInterval{100};

  Duration Shortest{};
  double PerSecond = 1;
  Time Last{};
  Time Next = Never;
};

} // namespace banyanpick
