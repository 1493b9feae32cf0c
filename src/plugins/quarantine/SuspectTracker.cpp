#include "plugins/quarantine/SuspectTracker.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Evidence of a death that several suspects share. Three such deaths after the
/// first one quarantine a content, so that no content crashes more than four
/// upstreams.
constexpr double SharedEvidence = 0.34;

/// Time after which a suspect's run on a peer expires without further notices.
constexpr Duration PeerRunTimeout = seconds(120);

/// Number of time slots over which suspects with shared evidence are spread.
constexpr std::uint64_t Slots = 4;
constexpr Duration SlotLength = milliseconds(250);

} // namespace

void SuspectTracker::attemptStarted(const Request &Req,
                                    const Attempt &SentAttempt) {
  RunningAttempt &Run = this->Running[SentAttempt.Id];
  Run.Content = Req.Head.Content;
  Run.Team = Req.Team;
  Run.Upstreams = SentAttempt.Group;
  Run.Upstreams.push_back(SentAttempt.Upstream);
}

void SuspectTracker::attemptFinished(const AttemptId &Id) {
  this->Running.erase(Id);
}

std::vector<Suspected> SuspectTracker::attemptBroken(const Attempt &SentAttempt,
                                                     Time Now) {
  const auto Found = this->Running.find(SentAttempt.Id);
  // A counted attempt belongs to a death that is already recorded.
  if (Found == this->Running.end() || Found->second.IsCounted)
    return {};
  return this->recordDeath(SentAttempt.Upstream, SentAttempt.UpstreamLife, Now);
}

std::vector<Suspected> SuspectTracker::upstreamDied(const UpstreamId &Upstream,
                                                    Incarnation Life,
                                                    Time Now) {
  const bool IsKnown = std::any_of(
      this->Deaths.begin(), this->Deaths.end(), [&](const Death &Recorded) {
        return Recorded.Upstream == Upstream && Recorded.Life == Life;
      });
  if (IsKnown)
    return {};
  return this->recordDeath(Upstream, Life, Now);
}

std::vector<Suspected> SuspectTracker::recordDeath(const UpstreamId &Upstream,
                                                   Incarnation Life, Time Now) {
  const auto Affected = this->takeAffectedContents(Upstream);
  Death NewDeath{Upstream, Life, Now, {}};
  std::size_t Suspects = this->countPeerSuspects(Upstream, Affected, Now);
  for (const auto &[Content, Team] : Affected) {
    NewDeath.Contents.push_back(Content);
    Suspects += this->isSuspect(Content, Now) ? 1 : 0;
  }
  this->Deaths.push_back(std::move(NewDeath));

  std::vector<Suspected> Result;
  for (const auto &[Content, Team] : Affected) {
    const bool IsRepeated = this->isSuspect(Content, Now);
    Suspicion &Entry = this->Suspicions[Content];
    if (!IsRepeated)
      Entry = Suspicion();
    Entry.Until = Now + this->Policy.Retention;
    ++Entry.Deaths;
    if (IsRepeated)
      this->addEvidence(Entry, Suspects, this->mayBeCommonCause(Content, Now));
    else
      Entry.IsIsolated = Affected.size() <= this->Policy.IsolateUpTo;
    Result.push_back(
        {Content, Team, Entry.Deaths, Entry.IsIsolated, Entry.Evidence >= 1});
  }
  return Result;
}

void SuspectTracker::addEvidence(Suspicion &Entry, std::size_t Suspects,
                                 bool MayBeCommonCause) const {
  const bool IsAlone = Suspects == 1 && !MayBeCommonCause;
  Entry.Evidence += IsAlone ? 1 : SharedEvidence;
  Entry.IsIsolated = true;
}

std::map<Fingerprint, TeamId>
SuspectTracker::takeAffectedContents(const UpstreamId &Upstream) {
  std::map<Fingerprint, TeamId> Result;
  for (auto &[Id, Run] : this->Running) {
    const bool IsThere = std::find(Run.Upstreams.begin(), Run.Upstreams.end(),
                                   Upstream) != Run.Upstreams.end();
    if (!IsThere || Run.IsCounted)
      continue;
    Run.IsCounted = true;
    Result.emplace(Run.Content, Run.Team);
  }
  return Result;
}

bool SuspectTracker::mayBeCommonCause(Fingerprint Content, Time Now) const {
  return std::any_of(
      this->Deaths.begin(), this->Deaths.end(), [&](const Death &Recorded) {
        const bool IsNear = Now - Recorded.DiedAt <= this->Policy.CommonCause;
        const bool RanThere =
            std::find(Recorded.Contents.begin(), Recorded.Contents.end(),
                      Content) != Recorded.Contents.end();
        return IsNear && !RanThere;
      });
}

std::size_t
SuspectTracker::countPeerSuspects(const UpstreamId &Upstream,
                                  const std::map<Fingerprint, TeamId> &Affected,
                                  Time Now) const {
  const auto Count = std::count_if(
      this->PeerRuns.begin(), this->PeerRuns.end(), [&](const auto &Entry) {
        const auto &[Content, Run] = Entry;
        return Run.Upstream == Upstream && Run.Until > Now &&
               !Affected.contains(Content);
      });
  return static_cast<std::size_t>(Count);
}

void SuspectTracker::setPeerRun(Fingerprint Content, const UpstreamId &Upstream,
                                Time Now) {
  this->PeerRuns[Content] = {Upstream, Now + PeerRunTimeout};
}

void SuspectTracker::endPeerRun(Fingerprint Content, Time Now) {
  const auto Found = this->PeerRuns.find(Content);
  if (Found != this->PeerRuns.end())
    Found->second.Until = Now + this->Policy.CommonCause;
}

Duration SuspectTracker::spacing(Fingerprint Content, Time Now) const {
  const Suspicion *Found = this->find(Content, Now);
  if (!Found || Found->Evidence <= 0)
    return Duration(0);
  // The slot changes after each death, so that two suspects do not share a slot
  // permanently.
  const std::uint64_t Slot =
      (Content.Value >> (2 * (Found->Deaths % 32))) % Slots;
  return SlotLength * static_cast<Duration::rep>(Slot);
}

void SuspectTracker::addSuspect(Fingerprint Content, Time Now) {
  Suspicion &Entry = this->Suspicions[Content];
  Entry.Deaths = std::max<std::uint32_t>(Entry.Deaths, 1);
  Entry.IsIsolated = true;
  Entry.Until = Now + this->Policy.Retention;
}

bool SuspectTracker::clear(Fingerprint Content) {
  this->PeerRuns.erase(Content);
  return this->Suspicions.erase(Content) > 0;
}

bool SuspectTracker::isSuspect(Fingerprint Content, Time Now) const {
  return this->find(Content, Now) != nullptr;
}

bool SuspectTracker::isIsolated(Fingerprint Content, Time Now) const {
  const Suspicion *Found = this->find(Content, Now);
  return Found && Found->IsIsolated;
}

const SuspectTracker::Suspicion *SuspectTracker::find(Fingerprint Content,
                                                      Time Now) const {
  const auto Found = this->Suspicions.find(Content);
  const bool IsKept =
      Found != this->Suspicions.end() && Found->second.Until > Now;
  return IsKept ? &Found->second : nullptr;
}

void SuspectTracker::prune(Time Now) {
  std::erase_if(this->Suspicions,
                [&](const auto &Entry) { return Entry.second.Until <= Now; });
  std::erase_if(this->PeerRuns,
                [&](const auto &Entry) { return Entry.second.Until <= Now; });
  while (!this->Deaths.empty() &&
         Now - this->Deaths.front().DiedAt > this->Policy.Retention)
    this->Deaths.pop_front();
}

} // namespace banyanpick
