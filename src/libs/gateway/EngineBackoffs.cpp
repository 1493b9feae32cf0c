#include "gateway/EngineBackoffs.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Requests that were in flight when a backoff began are refused within this
/// time, each with its own backoff.
constexpr milliseconds SameBackoff(500);

} // namespace

bool EngineBackoffs::take(const UpstreamId &Engine, Time Until, Time Now) {
  if (Until <= Now)
    return false;
  Time &End = this->Ends[Engine];
  const Time Before = End;
  End = std::max(End, Until);
  return Before <= Now || End > Before + Duration(SameBackoff);
}

Time EngineBackoffs::until(const UpstreamId &Engine) const {
  const auto Found = this->Ends.find(Engine);
  return Found == this->Ends.end() ? Time{} : Found->second;
}

void EngineBackoffs::age(Time Now) {
  std::erase_if(this->Ends,
                [&](const auto &Entry) { return Now >= Entry.second; });
}

} // namespace banyanpick
