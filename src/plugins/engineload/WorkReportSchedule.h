/// \file
/// The schedule of work reports to peers.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstddef>

namespace banyanpick {

/// Limits the rate of a host's work reports. Long work is reported soon,
/// because it determines where the next long prompt can be prefilled in time.
/// Short work waits until the messages fit the rate.
class WorkReportSchedule {
public:
  WorkReportSchedule() = default;
  /// \p PerSecond is the maximum rate of messages for short work.
  WorkReportSchedule(Duration MinInterval, double PerSecond)
      : MinInterval(MinInterval), PerSecond(PerSecond) {}

  /// Called when the work changes. \p Soon: the change concerns long work.
  void noteChange(bool Soon, std::size_t Peers, Time Now) {
    const Duration Spread =
        fromSeconds(static_cast<double>(Peers) / this->PerSecond);
    const Duration Interval =
        Soon ? this->MinInterval : std::max(this->MinInterval, Spread);
    this->Next = std::min(this->Next, std::max(Now, this->Last + Interval));
  }
  /// Schedules a report now, as peers need it before their next decision.
  void noteUrgent(Time Now) { this->Next = Now; }
  /// What a report contained; determines when it is repeated.
  enum class Content {
    Nothing,
    Work,        ///< Repeated, as messages may be lost and reports expire.
    QueuedPrompt ///< Includes queued prompts, whose reports expire sooner.
  };
  void noteSent(Content Sent, Time Now) {
    this->Last = Now;
    this->Next = Sent == Content::Nothing ? Never
                 : Sent == Content::Work  ? Now + RepeatInterval
                                          : Now + QueueInterval;
  }
  Time next() const { return this->Next; }

private:
  /// A third of the lifetime of a report at peers.
  static constexpr milliseconds RepeatInterval{500};

  /// A third of the lifetime of a queued prompt at peers.
  static constexpr milliseconds QueueInterval{100};

  Duration MinInterval{};
  double PerSecond = 1;
  Time Last{};
  Time Next = Never;
};

} // namespace banyanpick
