#include "plugins/crashes/DeathCheck.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Requests to an engine that answers none. Its registration ends soon after.
constexpr std::uint32_t MaxRequests = 4;

/// Time after which the check of an engine begins anew.
constexpr seconds CheckLifetime(2);

} // namespace

bool DeathCheck::connectionLost(const UpstreamId &Engine, Time Now) {
  std::erase_if(this->Checks, [&](const auto &Entry) {
    return Now >= Entry.second.AskedAt + Duration(CheckLifetime);
  });
  const auto [Found, IsNew] = this->Checks.try_emplace(Engine);
  Check &Current = Found->second;
  if (IsNew) {
    Current = {Now, Never, 1};
    return true;
  }
  this->askAgain(Current, std::max(Now, Current.AskedAt + this->Interval));
  return false;
}

void DeathCheck::reportLost(const UpstreamId &Engine, Time Now) {
  const auto Found = this->Checks.find(Engine);
  if (Found != this->Checks.end())
    this->askAgain(Found->second, Now + this->Interval);
}

void DeathCheck::askAgain(Check &Current, Time At) {
  if (Current.Requests >= MaxRequests)
    return;
  Current.NextAt = std::min(Current.NextAt, At);
  this->NextDue = std::min(this->NextDue, At);
}

std::vector<UpstreamId> DeathCheck::takeDue(Time Now) {
  std::vector<UpstreamId> Result;
  // Called at every event, but rarely due.
  if (Now < this->NextDue)
    return Result;
  this->NextDue = Never;
  for (auto &[Engine, Current] : this->Checks) {
    if (Now < Current.NextAt) {
      this->NextDue = std::min(this->NextDue, Current.NextAt);
      continue;
    }
    Current = {Now, Never, Current.Requests + 1};
    Result.push_back(Engine);
  }
  return Result;
}

} // namespace banyanpick
