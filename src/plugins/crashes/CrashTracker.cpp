#include "plugins/crashes/CrashTracker.h"

#include <utility>

namespace banyanpick {

void CrashTracker::addSuspicion(const Crash &Observed, Time Now) {
  this->Suspicions[Observed] = Now;
}

std::vector<ConfirmedCrash> CrashTracker::confirm(const UpstreamId &Engine,
                                                  Time Now) {
  std::vector<ConfirmedCrash> Result;
  for (const auto &[Observed, At] : this->Suspicions)
    if (Observed.Engine == Engine && Now <= At + this->SuspicionLifetime)
      Result.push_back({Observed, Now - At});
  std::erase_if(this->Suspicions, [&](const auto &Entry) {
    return Entry.first.Engine == Engine;
  });
  std::erase_if(Result, [&](const ConfirmedCrash &Found) {
    return !this->add(Found.Observed, Now);
  });
  for (const ConfirmedCrash &Found : Result)
    this->Records[Found.Observed.Content].IsFoundHere = true;
  return Result;
}

bool CrashTracker::add(const Crash &Observed, Time Now) {
  Record &Entry = this->Records[Observed.Content];
  Entry.LastAt = Now;
  return Entry.Engines.insert(Observed.Engine).second;
}

std::size_t CrashTracker::crashCount(Fingerprint Content) const {
  const auto Found = this->Records.find(Content);
  return Found == this->Records.end() ? 0 : Found->second.Engines.size();
}

bool CrashTracker::isQuarantined(Fingerprint Content) const {
  const auto Found = this->Records.find(Content);
  return Found != this->Records.end() && this->isQuarantined(Found->second);
}

bool CrashTracker::isQuarantined(const Record &Entry) const {
  return Entry.IsRestored || Entry.Engines.size() >= this->QuarantineThreshold;
}

bool CrashTracker::takeToStore(Fingerprint Content) {
  const auto Found = this->Records.find(Content);
  if (Found == this->Records.end() || !this->isQuarantined(Found->second))
    return false;
  Record &Entry = Found->second;
  return Entry.IsFoundHere && !std::exchange(Entry.IsStored, true);
}

void CrashTracker::restore(Fingerprint Content, Time Now) {
  Record &Entry = this->Records[Content];
  Entry.IsRestored = true;
  Entry.LastAt = Now;
}

std::vector<Crash> CrashTracker::confirmedCrashes() const {
  std::vector<Crash> Result;
  for (const auto &[Content, Entry] : this->Records)
    for (const UpstreamId &Engine : Entry.Engines)
      Result.push_back({Content, Engine});
  return Result;
}

std::vector<Fingerprint> CrashTracker::removeExpired(Time Now) {
  std::vector<Fingerprint> Released;
  std::erase_if(this->Suspicions, [&](const auto &Entry) {
    return Now > Entry.second + this->SuspicionLifetime;
  });
  std::erase_if(this->Records, [&](const auto &Entry) {
    const bool IsExpired = Now > Entry.second.LastAt + this->RetentionTime;
    if (IsExpired && this->isQuarantined(Entry.second))
      Released.push_back(Entry.first);
    return IsExpired;
  });
  return Released;
}

} // namespace banyanpick
