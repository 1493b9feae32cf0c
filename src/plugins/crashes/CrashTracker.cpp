#include "plugins/crashes/CrashTracker.h"

#include <algorithm>
#include <utility>

namespace banyanpick {

namespace {

/// How much newer a harmless answer must be than the one that peers know of.
constexpr seconds MinTellInterval(1);

} // namespace

void CrashTracker::addSuspicion(const Crash &Observed, Time Now) {
  this->Suspicions[Observed] = Now;
}

std::vector<ConfirmedCrash> CrashTracker::confirm(const UpstreamId &Engine,
                                                  Time Now) {
  std::vector<ConfirmedCrash> Result;
  for (const auto &[Observed, At] : this->Suspicions)
    if (Observed.Engine == Engine && Now <= At + this->Limits.SuspicionLifetime)
      Result.push_back({Observed, Now - At});
  std::erase_if(this->Suspicions, [&](const auto &Entry) {
    return Entry.first.Engine == Engine;
  });
  std::erase_if(Result, [&](const ConfirmedCrash &Found) {
    return !this->add(Found.Observed, Now - Found.SuspectedFor, Now);
  });
  for (const ConfirmedCrash &Found : Result)
    this->Records[Found.Observed.Content].IsFoundHere = true;
  return Result;
}

bool CrashTracker::add(const Crash &Observed, Time Now) {
  return this->add(Observed, Now, Now);
}

bool CrashTracker::add(const Crash &Observed, Time CrashedAt, Time Now) {
  Record &Entry = this->Records[Observed.Content];
  Entry.LastAt = Now;
  return Entry.CrashedAt.try_emplace(Observed.Engine, CrashedAt).second;
}

bool CrashTracker::noteHarmless(Fingerprint Content, Time BeganAt, Time Now) {
  this->removeOldAnswers(Now);
  const bool WasQuarantined = this->isQuarantined(Content);
  Harmless &Known = this->HarmlessAnswers[Content];
  Known.BeganAt = std::max(Known.BeganAt, BeganAt);
  const auto Found = this->Records.find(Content);
  if (!WasQuarantined ||
      this->countOf(Content, Found->second) >= this->Limits.QuarantineThreshold)
    return false;
  Found->second.IsRestored = false;
  Found->second.IsStored = false;
  return true;
}

bool CrashTracker::takeHarmless(Fingerprint Content, Time BeganAt, Time Now) {
  Harmless &Known = this->HarmlessAnswers[Content];
  Known.ToldAt = std::max(Known.ToldAt, BeganAt);
  return this->noteHarmless(Content, BeganAt, Now);
}

std::optional<Time> CrashTracker::takeHarmlessToTell(Fingerprint Content) {
  const auto Entry = this->Records.find(Content);
  const auto Known = this->HarmlessAnswers.find(Content);
  if (Entry == this->Records.end() || Known == this->HarmlessAnswers.end())
    return std::nullopt;
  Harmless &Answers = Known->second;
  if (Entry->second.CrashedAt.size() + 1 < this->Limits.QuarantineThreshold ||
      Answers.BeganAt < Answers.ToldAt + Duration(MinTellInterval))
    return std::nullopt;
  Answers.ToldAt = Answers.BeganAt;
  return Answers.BeganAt;
}

std::size_t CrashTracker::countOf(Fingerprint Content,
                                  const Record &Entry) const {
  const auto Known = this->HarmlessAnswers.find(Content);
  if (Known == this->HarmlessAnswers.end())
    return Entry.CrashedAt.size();
  const Time Until = Known->second.BeganAt + this->Limits.HarmlessLifetime;
  return static_cast<std::size_t>(
      std::ranges::count_if(Entry.CrashedAt, [&](const auto &Crashed) {
        return Crashed.second > Until;
      }));
}

std::size_t CrashTracker::crashCount(Fingerprint Content) const {
  const auto Found = this->Records.find(Content);
  return Found == this->Records.end() ? 0
                                      : this->countOf(Content, Found->second);
}

bool CrashTracker::isQuarantined(Fingerprint Content) const {
  const auto Found = this->Records.find(Content);
  return Found != this->Records.end() &&
         this->isQuarantined(Content, Found->second);
}

bool CrashTracker::isQuarantined(Fingerprint Content,
                                 const Record &Entry) const {
  return Entry.IsRestored ||
         this->countOf(Content, Entry) >= this->Limits.QuarantineThreshold;
}

bool CrashTracker::takeToStore(Fingerprint Content) {
  const auto Found = this->Records.find(Content);
  if (Found == this->Records.end() ||
      !this->isQuarantined(Content, Found->second))
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
    for (const auto &[Engine, At] : Entry.CrashedAt)
      Result.push_back({Content, Engine});
  return Result;
}

std::vector<Fingerprint> CrashTracker::removeExpired(Time Now) {
  std::vector<Fingerprint> Released;
  std::erase_if(this->Suspicions, [&](const auto &Entry) {
    return Now > Entry.second + this->Limits.SuspicionLifetime;
  });
  std::erase_if(this->Records, [&](const auto &Entry) {
    const bool IsExpired =
        Now > Entry.second.LastAt + this->Limits.RetentionTime;
    if (IsExpired && this->isQuarantined(Entry.first, Entry.second))
      Released.push_back(Entry.first);
    return IsExpired;
  });
  return Released;
}

void CrashTracker::removeOldAnswers(Time Now) {
  if (Now < this->AnswersRemovedAt + this->Limits.HarmlessLifetime)
    return;
  this->AnswersRemovedAt = Now;
  std::erase_if(this->HarmlessAnswers, [&](const auto &Entry) {
    return Now > Entry.second.BeganAt + this->Limits.HarmlessLifetime &&
           !this->Records.contains(Entry.first);
  });
}

} // namespace banyanpick
