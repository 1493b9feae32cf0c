#include "app/ControlDelay.h"

#include "base/EventNumbers.h"

#include <algorithm>
#include <string>

namespace banyanpick {

namespace {

constexpr seconds ToldEvery(1);

/// Peers wait some hundred milliseconds for an answer before they doubt.
constexpr milliseconds LateFrom(100);

} // namespace

void ControlDelay::note(Duration Waited, std::size_t Waiting, Time Now,
                        Actions &Out) {
  this->Longest = std::max(this->Longest, Waited);
  this->Most = std::max(this->Most, Waiting);
  if (Now >= this->Since + Duration(ToldEvery))
    this->tell(Now, Out);
}

void ControlDelay::tell(Time Now, Actions &Out) {
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge,
                            "control_longest_delay_seconds", "",
                            inSeconds(this->Longest)});
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge,
                            "control_most_waiting", "",
                            static_cast<double>(this->Most)});
  if (this->Longest >= Duration(LateFrom))
    Out.log(logEvent(events::DecisionsLate)
                .with("late_us", this->Longest.count())
                .with("most_waiting", this->Most)
                .build());
  this->Since = Now;
  this->Longest = Duration(0);
  this->Most = 0;
}

} // namespace banyanpick
