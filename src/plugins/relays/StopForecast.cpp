#include "plugins/relays/StopForecast.h"

namespace banyanpick {

namespace {

/// Answers may take this much longer than the longest recent one. While hosts
/// stop, their callers come to the others.
constexpr double UsualSlowdown = 1.25;
/// The same where several hosts stop at once, so that callers find no other
/// host, and all come again when the first ones are back.
constexpr double SlowdownOfManyStops = 8;

bool endsInTime(const StoppingRequest &Request, double Slowdown) {
  return Request.Expected && inSeconds(*Request.Expected) * Slowdown <=
                                 inSeconds(Request.UntilStop);
}

} // namespace

bool maySendBeforeStop(const StoppingRequest &Request) {
  if (Request.UntilDeadline <= Request.UntilStop)
    return true;
  if (!Request.IsLate)
    return endsInTime(Request, UsualSlowdown);
  if (Request.IsStream || Request.OtherHostStays)
    return false;
  return endsInTime(Request, SlowdownOfManyStops);
}

} // namespace banyanpick
