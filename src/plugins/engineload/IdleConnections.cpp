#include "plugins/engineload/IdleConnections.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Idle connections that are tracked for one engine; the pool keeps no more by
/// default.
constexpr std::size_t MaxIdlePerEngine = 8;

/// Returns whether the answer was read to its end. The connection of any other
/// attempt is closed.
bool leavesConnectionOpen(const RelayOutcome &Outcome) {
  return std::holds_alternative<RelayDelivered>(Outcome) ||
         std::holds_alternative<RelayFailed>(Outcome);
}

} // namespace

bool IdleConnections::take(const UpstreamId &Engine, Time Now) {
  const auto Found = this->ById.find(Engine);
  if (Found == this->ById.end())
    return false;
  std::vector<Time> &Idle = Found->second;
  const bool WasOpen = Now < Idle.back();
  Idle.pop_back();
  std::erase_if(Idle, [&](Time Until) { return Now >= Until; });
  if (Idle.empty())
    this->ById.erase(Found);
  return WasOpen;
}

void IdleConnections::attemptEnded(const UpstreamId &Engine,
                                   const RelayOutcome &Outcome, Time Now) {
  if (!leavesConnectionOpen(Outcome))
    return;
  std::vector<Time> &Idle = this->ById[Engine];
  std::erase_if(Idle, [&](Time Until) { return Now >= Until; });
  if (Idle.size() < MaxIdlePerEngine)
    Idle.push_back(Now + this->KeptFor);
}

bool IdleConnections::hasIdle(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->ById.find(Engine);
  return Found != this->ById.end() && Now < Found->second.back();
}

} // namespace banyanpick
