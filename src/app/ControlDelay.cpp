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

void ControlDelay::record(Duration Waited, const Queue &Waiting, Time Now,
                          Actions &Out) {
  this->MaxDelay = std::max(this->MaxDelay, Waited);
  this->MaxWaiting.Events = std::max(this->MaxWaiting.Events, Waiting.Events);
  this->MaxWaiting.Bytes = std::max(this->MaxWaiting.Bytes, Waiting.Bytes);
  if (Now >= this->IntervalStart + Duration(ReportInterval))
    this->report(Now, Out);
}

void ControlDelay::report(Time Now, Actions &Out) {
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge,
                            "control_longest_delay_seconds", "",
                            inSeconds(this->MaxDelay)});
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge,
                            "control_most_waiting", "",
                            static_cast<double>(this->MaxWaiting.Events)});
  if (this->MaxDelay >= Duration(LateThreshold)) {
    const ProcessMemory Memory = this->ReadMemory();
    Out.log(logEvent(events::DecisionsLate)
                .with("late_us", this->MaxDelay.count())
                .with("most_waiting", this->MaxWaiting.Events)
                .with("most_waiting_bytes", this->MaxWaiting.Bytes)
                .with("resident_bytes", Memory.Resident)
                .with("allocator_used_bytes", Memory.AllocatorUsed)
                .build());
  }
  this->IntervalStart = Now;
  this->MaxDelay = Duration(0);
  this->MaxWaiting = {};
}

} // namespace banyanpick
