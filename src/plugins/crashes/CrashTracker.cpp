#include "plugins/crashes/CrashTracker.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// How much newer a harmless answer must be than the one that peers know of.
constexpr seconds MinTellInterval(1);

/// A content for whose crashes there is a better suspect is suspected too if so
/// many of them remain unexplained.
constexpr std::size_t MinUnexplained = 2;

/// So many more crashes are needed of a content that was answered without harm
/// a moment before them.
constexpr std::size_t ExtraCrashes = 2;

/// From a suspicion to its first probe. Attempts that were under way decide
/// most suspicions earlier.
constexpr milliseconds FirstProbeDelay(1500);

/// The same after the start of a host, which must learn of its peers first, so
/// that only one of them sends a probe.
constexpr seconds RestoredProbeDelay(4);

/// How much longer a probe waits for each further suspected content in it. A
/// request without the others may come meanwhile.
constexpr seconds FurtherSuspectDelay(3);

/// From a proof, or the crash of a probe, to the next probe; later ones wait
/// so many times longer.
constexpr seconds RepeatedProbeDelay(120);
constexpr std::size_t ProbeDelayFactor = 4;
constexpr std::size_t MaxCountedProbes = 3;

/// Times that peers report differ by the delay of their messages. A host sends
/// a request again as soon as it has lost it.
constexpr milliseconds MaxJitter(20);

/// Returns the length of the longest sequence of crashes, the oldest first, in
/// which each attempt was sent after the crash before.
template <class Crashes> std::size_t countRepetitions(const Crashes &Sorted) {
  std::size_t Result = 0;
  Time LastCrash = Time::min();
  for (const auto &Found : Sorted) {
    if (Found.Evidence.SentAt + Duration(MaxJitter) < LastCrash)
      continue;
    ++Result;
    LastCrash = Found.Evidence.CrashedAt;
  }
  return Result;
}

Duration delayAfterProbes(std::size_t Failed) {
  Duration Result = RepeatedProbeDelay;
  for (std::size_t Count = 1; Count < std::min(Failed, MaxCountedProbes);
       ++Count)
    Result *= ProbeDelayFactor;
  return Result;
}

} // namespace

void CrashTracker::addSuspicion(const Crash &Observed,
                                const CrashEvidence &Evidence) {
  const auto [Entry, IsNew] = this->Suspicions.try_emplace(Observed, Evidence);
  if (IsNew)
    return;
  // Of several attempts with the content the last one was sent after most of
  // the other crashes.
  CrashEvidence &Known = Entry->second;
  Known.SentAt = std::max(Known.SentAt, Evidence.SentAt);
  Known.CrashedAt = Evidence.CrashedAt;
  if (Evidence.Probe != ProbeKind::None)
    Known.Probe = Evidence.Probe;
}

std::vector<ConfirmedCrash> CrashTracker::confirm(const UpstreamId &Engine,
                                                  Time Now) {
  std::vector<ConfirmedCrash> Result;
  for (const auto &[Observed, Evidence] : this->Suspicions)
    if (Observed.Engine == Engine &&
        Now <= Evidence.CrashedAt + this->Limits.SuspicionLifetime)
      Result.push_back({Observed, Evidence});
  std::erase_if(this->Suspicions, [&](const auto &Entry) {
    return Entry.first.Engine == Engine;
  });
  std::erase_if(Result, [&](const ConfirmedCrash &Found) {
    return !this->add(Found, Now);
  });
  for (const ConfirmedCrash &Found : Result)
    this->Records[Found.Observed.Content].IsFoundHere = true;
  return Result;
}

bool CrashTracker::add(const ConfirmedCrash &Found, Time Now) {
  this->limitRecords();
  const Fingerprint Content = Found.Observed.Content;
  Record &Entry = this->Records[Content];
  Entry.LastAt = Now;
  const bool IsNew =
      Entry.Crashes.try_emplace(Found.Observed.Engine, Found.Evidence).second;
  if (Entry.Crashes.size() >= this->Limits.QuarantineThreshold)
    this->Candidates.insert(Content);
  return IsNew;
}

bool CrashTracker::noteHarmless(Fingerprint Content, Time BeganAt) {
  const bool WasQuarantined = this->isQuarantined(Content);
  this->Harmless.note(Content, BeganAt);
  if (!WasQuarantined)
    return false;
  Record &Entry = this->Records[Content];
  // Older answers came before the crashes that an earlier process counted.
  if (BeganAt >= Entry.RestoredAt &&
      this->crashCount(Content) < this->Limits.QuarantineThreshold)
    Entry.Restored = CrashVerdict::Sound;
  return !this->isQuarantined(Content);
}

bool CrashTracker::takeHarmless(Fingerprint Content, Time BeganAt) {
  const bool IsReleased = this->noteHarmless(Content, BeganAt);
  this->Harmless.setTold(Content, BeganAt);
  return IsReleased;
}

std::optional<Time> CrashTracker::takeHarmlessToTell(Fingerprint Content) {
  const auto Entry = this->Records.find(Content);
  const HarmlessAnswers::Answers *Known = this->Harmless.find(Content);
  if (Entry == this->Records.end() || !Known)
    return std::nullopt;
  const Time BeganAt = Known->NewestBeganAt;
  if (Entry->second.Crashes.size() + 1 < this->Limits.QuarantineThreshold ||
      (Known->ToldAt && BeganAt < *Known->ToldAt + Duration(MinTellInterval)))
    return std::nullopt;
  this->Harmless.setTold(Content, BeganAt);
  return BeganAt;
}

std::vector<CrashTracker::OpenCrash>
CrashTracker::openCrashes(Fingerprint Content, const Record &Entry) const {
  const HarmlessAnswers::Answers *Known = this->Harmless.find(Content);
  std::vector<OpenCrash> Result;
  for (const auto &[Engine, Evidence] : Entry.Crashes)
    if (!Known || Evidence.CrashedAt > Known->NewestBeganAt)
      Result.push_back({Engine, Evidence});
  std::ranges::stable_sort(Result, {}, [](const OpenCrash &Found) {
    return Found.Evidence.CrashedAt;
  });
  // A content that was harmless a moment ago has turned bad if it crashes
  // upstreams again and again with no harmless answer meanwhile.
  const bool HasTurnedBad =
      Result.size() >= this->Limits.QuarantineThreshold + ExtraCrashes &&
      countRepetitions(Result) >= this->Limits.QuarantineThreshold;
  if (!Known || HasTurnedBad)
    return Result;
  const Time RefutedUntil =
      Known->NewestBeganAt + this->Limits.HarmlessLifetime;
  std::erase_if(Result, [&](const OpenCrash &Found) {
    return Found.Evidence.CrashedAt <= RefutedUntil;
  });
  return Result;
}

Judgement CrashTracker::judge(Fingerprint Content) const {
  Judgement Result;
  const auto Found = this->Records.find(Content);
  if (Found == this->Records.end())
    return Result;
  const Record &Entry = Found->second;
  Result.Verdict = Entry.Restored;
  const std::vector<OpenCrash> Open = this->openCrashes(Content, Entry);
  Result.Crashes = Open.size();
  Result.Repetitions = countRepetitions(Open);
  Result.FailedAsProbe = std::ranges::any_of(Open, [](const OpenCrash &Each) {
    return Each.Evidence.Probe == ProbeKind::Alone;
  });
  const bool IsCandidate = Open.size() >= this->Limits.QuarantineThreshold;
  if (IsCandidate) {
    const std::size_t Unexplained =
        this->compareWithOthers(Content, Open, Result);
    if (Result.BetterSuspect && Unexplained < MinUnexplained)
      return Result;
  }
  const bool IsRepeated =
      IsCandidate && Result.Repetitions >= this->Limits.QuarantineThreshold &&
      !this->Harmless.find(Content) && !Result.HasEqualSuspect;
  const bool IsSuspected = IsCandidate || Entry.Restored != CrashVerdict::Sound;
  if (IsRepeated || (IsSuspected && Result.FailedAsProbe))
    Result.Verdict = CrashVerdict::Proven;
  else if (IsCandidate && Result.Verdict == CrashVerdict::Sound)
    Result.Verdict = CrashVerdict::Suspected;
  return Result;
}

std::size_t CrashTracker::compareWithOthers(Fingerprint Content,
                                            const std::vector<OpenCrash> &Open,
                                            Judgement &Result) const {
  std::set<UpstreamId> Explained;
  for (const Fingerprint &Other : this->Candidates) {
    if (Other == Content)
      continue;
    const std::vector<OpenCrash> OtherOpen =
        this->openCrashes(Other, this->Records.at(Other));
    if (OtherOpen.size() < this->Limits.QuarantineThreshold)
      continue;
    std::set<UpstreamId> Shared;
    for (const OpenCrash &Found : OtherOpen)
      if (std::ranges::find(Open, Found.Engine, &OpenCrash::Engine) !=
          Open.end())
        Shared.insert(Found.Engine);
    const bool ExplainsAsWell =
        Open.size() - Shared.size() < this->Limits.QuarantineThreshold;
    if (this->isBetterSuspect(Other, Content)) {
      if (!Shared.empty())
        Result.BetterSuspect = Other;
      Explained.merge(Shared);
    } else if (!Shared.empty() && ExplainsAsWell &&
               !this->isBetterSuspect(Content, Other)) {
      Result.HasEqualSuspect = true;
    }
  }
  return Open.size() - Explained.size();
}

bool CrashTracker::isBetterSuspect(Fingerprint First,
                                   Fingerprint Second) const {
  const HarmlessAnswers::Answers *OfSecond = this->Harmless.find(Second);
  if (!OfSecond)
    return false;
  const HarmlessAnswers::Answers *OfFirst = this->Harmless.find(First);
  return !OfFirst || OfFirst->NewestBeganAt + this->Limits.HarmlessLifetime <=
                         OfSecond->NewestBeganAt;
}

std::size_t CrashTracker::crashCount(Fingerprint Content) const {
  const auto Found = this->Records.find(Content);
  if (Found == this->Records.end())
    return 0;
  return this->openCrashes(Content, Found->second).size();
}

Time CrashTracker::quarantinedAt(const Record &Entry,
                                 const std::vector<OpenCrash> &Open) const {
  if (Entry.Restored != CrashVerdict::Sound)
    return Entry.RestoredAt;
  if (Open.size() < this->Limits.QuarantineThreshold)
    return Never;
  return Open[this->Limits.QuarantineThreshold - 1].Evidence.CrashedAt;
}

Time CrashTracker::nextProbeAt(Fingerprint Content, std::size_t Others) const {
  const auto Found = this->Records.find(Content);
  if (Found == this->Records.end())
    return Time{};
  const std::vector<OpenCrash> Open = this->openCrashes(Content, Found->second);
  std::size_t Failed = 0;
  Time LastFailure{};
  for (const OpenCrash &Each : Open) {
    const ProbeKind Probe = Each.Evidence.Probe;
    if (Probe == ProbeKind::Alone ||
        (Others > 0 && Probe == ProbeKind::Together)) {
      ++Failed;
      LastFailure = Each.Evidence.CrashedAt;
    }
  }
  if (Failed > 0)
    return LastFailure + delayAfterProbes(Failed);
  Duration First = FirstProbeDelay;
  if (Found->second.Restored != CrashVerdict::Sound)
    First = RestoredProbeDelay;
  if (this->judge(Content).Verdict == CrashVerdict::Proven)
    First = RepeatedProbeDelay;
  return this->quarantinedAt(Found->second, Open) + First +
         Duration(FurtherSuspectDelay) * Others;
}

std::optional<CrashVerdict> CrashTracker::takeToStore(Fingerprint Content) {
  const auto Found = this->Records.find(Content);
  if (Found == this->Records.end() || !Found->second.IsFoundHere)
    return std::nullopt;
  const CrashVerdict Verdict = this->judge(Content).Verdict;
  if (Verdict <= Found->second.Stored)
    return std::nullopt;
  Found->second.Stored = Verdict;
  return Verdict;
}

bool CrashTracker::takeEnded(Fingerprint Content) {
  const auto Found = this->Records.find(Content);
  if (Found == this->Records.end() ||
      Found->second.Stored == CrashVerdict::Sound ||
      this->isQuarantined(Content))
    return false;
  Found->second.Stored = CrashVerdict::Sound;
  return true;
}

void CrashTracker::restore(Fingerprint Content, CrashVerdict Verdict,
                           Time Now) {
  Record &Entry = this->Records[Content];
  Entry.Restored = Verdict;
  Entry.RestoredAt = Now;
  Entry.LastAt = Now;
}

std::vector<ConfirmedCrash> CrashTracker::openCrashes() const {
  std::vector<ConfirmedCrash> Result;
  for (const auto &[Content, Entry] : this->Records)
    for (const OpenCrash &Found : this->openCrashes(Content, Entry))
      Result.push_back({{Content, Found.Engine}, Found.Evidence});
  return Result;
}

std::vector<Fingerprint> CrashTracker::removeExpired(Time Now) {
  std::vector<Fingerprint> Released;
  std::erase_if(this->Suspicions, [&](const auto &Entry) {
    return Now > Entry.second.CrashedAt + this->Limits.SuspicionLifetime;
  });
  std::vector<Fingerprint> Expired;
  for (const auto &[Content, Entry] : this->Records)
    if (Now > Entry.LastAt + this->Limits.RetentionTime)
      Expired.push_back(Content);
  for (const Fingerprint &Content : Expired)
    if (this->isQuarantined(Content))
      Released.push_back(Content);
  for (const Fingerprint &Content : Expired) {
    this->Records.erase(Content);
    this->Candidates.erase(Content);
  }
  return Released;
}

void CrashTracker::limitRecords() {
  if (this->Records.size() < MaxContents)
    return;
  std::erase_if(this->Records, [&](const auto &Entry) {
    return !this->Candidates.contains(Entry.first) &&
           Entry.second.Restored == CrashVerdict::Sound;
  });
}

} // namespace banyanpick
