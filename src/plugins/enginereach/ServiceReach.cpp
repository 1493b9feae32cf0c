#include "plugins/enginereach/ServiceReach.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Engines that fail before the host's own links are suspected.
constexpr std::size_t MinFailedEngines = 2;

/// Time for which a failure counts without a new one.
constexpr seconds EvidenceLifetime(2);

} // namespace

void ServiceReach::noteAnswer(const UpstreamId &Engine, Time Now) {
  std::erase_if(this->FailedAlone, [&](const auto &Entry) {
    return Now >= Entry.second + Duration(EvidenceLifetime);
  });
  for (const auto &[Failed, At] : this->FailedAt)
    this->FailedAlone.insert_or_assign(Failed, At);
  this->FailedAlone.erase(Engine);
  this->FailedAt.clear();
  this->AnsweredAt = Now;
  this->SilentSince = Never;
}

void ServiceReach::noteFailure(const UpstreamId &Engine, Time Now) {
  std::erase_if(this->FailedAt, [&](const auto &Entry) {
    return Now >= Entry.second + Duration(EvidenceLifetime);
  });
  this->FailedAt[Engine] = Now;
}

void ServiceReach::forget(const UpstreamId &Engine) {
  this->FailedAt.erase(Engine);
  this->FailedAlone.erase(Engine);
}

bool ServiceReach::failsAlone(const UpstreamId &Engine, Time Now) const {
  return Now < this->AnsweredAt + Duration(EvidenceLifetime) &&
         this->FailedAlone.contains(Engine);
}

void ServiceReach::noteSent(Time ExpectedAt) {
  ++this->Waiting;
  this->SilentSince = std::min(this->SilentSince, ExpectedAt);
}

void ServiceReach::noteEnded() {
  if (--this->Waiting == 0)
    this->SilentSince = Never;
}

bool ServiceReach::isCutOff(Time Now) const {
  const auto Failed = static_cast<std::size_t>(
      std::ranges::count_if(this->FailedAt, [&](const auto &Entry) {
        return Now < Entry.second + Duration(EvidenceLifetime) &&
               !this->failsAlone(Entry.first, Now);
      }));
  return Failed >= MinFailedEngines;
}

} // namespace banyanpick
