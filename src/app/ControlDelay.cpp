#include "app/ControlDelay.h"

#include "base/EventNumbers.h"

#include <algorithm>
#include <string>

namespace banyanpick {

namespace {

constexpr seconds ReportInterval(1);

/// Peers suspect a host that does not answer for a few hundred milliseconds.
constexpr milliseconds LateThreshold(100);

} // namespace

void ControlDelay::record(Duration Waited, std::size_t Waiting, Time Now,
                          Actions &Out) {
  this->MaxDelay = std::max(this->MaxDelay, Waited);
  this->MaxWaiting = std::max(this->MaxWaiting, Waiting);
  if (Now >= this->IntervalStart + Duration(ReportInterval))
    this->report(Now, Out);
}

void ControlDelay::report(Time Now, Actions &Out) {
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge,
                            "control_longest_delay_seconds", "",
                            inSeconds(this->MaxDelay)});
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge,
                            "control_most_waiting", "",
                            static_cast<double>(this->MaxWaiting)});
  if (this->MaxDelay >= Duration(LateThreshold))
    Out.log(logEvent(events::DecisionsLate)
                .with("late_us", this->MaxDelay.count())
                .with("most_waiting", this->MaxWaiting)
                .build());
  this->IntervalStart = Now;
  this->MaxDelay = Duration(0);
  this->MaxWaiting = 0;
}

} // namespace banyanpick
