#include "plugins/quarantine/SuspectBook.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// What a death adds for one that can't be told apart from others: three such
/// condemn, so that no content takes more than four upstreams with it.
constexpr double SharedEvidence = 0.34;

/// A suspect's run on a peer counts for so long when nothing more is heard.
constexpr Duration PeerRunMemory = seconds(120);

/// Turns of suspects that shared the blame.
constexpr std::uint64_t Slots = 4;
constexpr Duration SlotLength = milliseconds(250);

} // namespace

void SuspectBook::started(const Request &Asked, const Attempt &Try) {
  RunningTry &Of = this->Running[Try.Id];
  Of.Content = Asked.Head.Content;
  Of.Team = Asked.Team;
  Of.Upstreams = Try.Group;
  Of.Upstreams.push_back(Try.Upstream);
}

void SuspectBook::finished(const AttemptId &Id) { this->Running.erase(Id); }

std::vector<Suspected> SuspectBook::diedRunning(const Attempt &Try, Time Now) {
  const auto Found = this->Running.find(Try.Id);
  // A try counted already shows a death that was noted before.
  if (Found == this->Running.end() || Found->second.IsCounted)
    return {};
  return this->note(Try.Upstream, Try.UpstreamLife, Now);
}

std::vector<Suspected> SuspectBook::died(const UpstreamId &Upstream,
                                         Incarnation Life, Time Now) {
  const bool IsKnown = std::any_of(
      this->Deaths.begin(), this->Deaths.end(), [&](const Death &Each) {
        return Each.Upstream == Upstream && Each.Life == Life;
      });
  if (IsKnown)
    return {};
  return this->note(Upstream, Life, Now);
}

std::vector<Suspected> SuspectBook::note(const UpstreamId &Upstream,
                                         Incarnation Life, Time Now) {
  const auto Victims = this->takeRunning(Upstream);
  Death Noted{Upstream, Life, Now, {}};
  std::size_t Suspects = this->suspectsElsewhere(Upstream, Victims, Now);
  for (const auto &[Content, Team] : Victims) {
    Noted.Contents.push_back(Content);
    Suspects += this->isSuspect(Content, Now) ? 1 : 0;
  }
  this->Deaths.push_back(std::move(Noted));

  std::vector<Suspected> Result;
  for (const auto &[Content, Team] : Victims) {
    const bool IsRepeated = this->isSuspect(Content, Now);
    Suspicion &Of = this->Suspicions[Content];
    if (!IsRepeated)
      Of = Suspicion();
    Of.Until = Now + this->Policy.Memory;
    ++Of.Deaths;
    if (IsRepeated)
      this->accuse(Of, Suspects, this->mayBeCommonCause(Content, Now));
    else
      Of.IsIsolated = Victims.size() <= this->Policy.IsolateUpTo;
    Result.push_back(
        {Content, Team, Of.Deaths, Of.IsIsolated, Of.Evidence >= 1});
  }
  return Result;
}

void SuspectBook::accuse(Suspicion &Of, std::size_t Suspects,
                         bool MayBeCommonCause) const {
  const bool IsAlone = Suspects == 1 && !MayBeCommonCause;
  Of.Evidence += IsAlone ? 1 : SharedEvidence;
  Of.IsIsolated = true;
}

std::map<Fingerprint, TeamId>
SuspectBook::takeRunning(const UpstreamId &Upstream) {
  std::map<Fingerprint, TeamId> Result;
  for (auto &[Id, Of] : this->Running) {
    const bool IsThere = std::find(Of.Upstreams.begin(), Of.Upstreams.end(),
                                   Upstream) != Of.Upstreams.end();
    if (!IsThere || Of.IsCounted)
      continue;
    Of.IsCounted = true;
    Result.emplace(Of.Content, Of.Team);
  }
  return Result;
}

bool SuspectBook::mayBeCommonCause(Fingerprint Content, Time Now) const {
  return std::any_of(
      this->Deaths.begin(), this->Deaths.end(), [&](const Death &Each) {
        const bool IsNear = Now - Each.At <= this->Policy.CommonCause;
        const bool RanThere =
            std::find(Each.Contents.begin(), Each.Contents.end(), Content) !=
            Each.Contents.end();
        return IsNear && !RanThere;
      });
}

std::size_t
SuspectBook::suspectsElsewhere(const UpstreamId &Upstream,
                               const std::map<Fingerprint, TeamId> &Victims,
                               Time Now) const {
  const auto Count = std::count_if(
      this->Elsewhere.begin(), this->Elsewhere.end(), [&](const auto &Each) {
        const auto &[Content, Run] = Each;
        return Run.Upstream == Upstream && Run.Until > Now &&
               !Victims.contains(Content);
      });
  return static_cast<std::size_t>(Count);
}

void SuspectBook::learnWhere(Fingerprint Content, const UpstreamId &Upstream,
                             Time Now) {
  this->Elsewhere[Content] = {Upstream, Now + PeerRunMemory};
}

void SuspectBook::endedElsewhere(Fingerprint Content, Time Now) {
  const auto Found = this->Elsewhere.find(Content);
  if (Found != this->Elsewhere.end())
    Found->second.Until = Now + this->Policy.CommonCause;
}

Duration SuspectBook::spacing(Fingerprint Content, Time Now) const {
  const Suspicion *Found = this->find(Content, Now);
  if (!Found || Found->Evidence <= 0)
    return Duration(0);
  // Another slot after each death, so that two do not meet for ever.
  const std::uint64_t Slot =
      (Content.Value >> (2 * (Found->Deaths % 32))) % Slots;
  return SlotLength * static_cast<Duration::rep>(Slot);
}

void SuspectBook::learn(Fingerprint Content, Time Now) {
  Suspicion &Of = this->Suspicions[Content];
  Of.Deaths = std::max<std::uint32_t>(Of.Deaths, 1);
  Of.IsIsolated = true;
  Of.Until = Now + this->Policy.Memory;
}

bool SuspectBook::clear(Fingerprint Content) {
  this->Elsewhere.erase(Content);
  return this->Suspicions.erase(Content) > 0;
}

bool SuspectBook::isSuspect(Fingerprint Content, Time Now) const {
  return this->find(Content, Now) != nullptr;
}

bool SuspectBook::isIsolated(Fingerprint Content, Time Now) const {
  const Suspicion *Found = this->find(Content, Now);
  return Found && Found->IsIsolated;
}

const SuspectBook::Suspicion *SuspectBook::find(Fingerprint Content,
                                                Time Now) const {
  const auto Found = this->Suspicions.find(Content);
  const bool IsKept =
      Found != this->Suspicions.end() && Found->second.Until > Now;
  return IsKept ? &Found->second : nullptr;
}

void SuspectBook::prune(Time Now) {
  std::erase_if(this->Suspicions,
                [&](const auto &Each) { return Each.second.Until <= Now; });
  std::erase_if(this->Elsewhere,
                [&](const auto &Each) { return Each.second.Until <= Now; });
  while (!this->Deaths.empty() &&
         Now - this->Deaths.front().At > this->Policy.Memory)
    this->Deaths.pop_front();
}

} // namespace banyanpick
