#include "plugins/membership/PeerTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyanpick {

namespace {

/// Earlier lives remembered of one host.
constexpr std::size_t MostEarlierLives = 16;

/// One message may be lost.
constexpr std::uint32_t LeastUnanswered = 2;

/// A host that was doubted wrongly is doubted the later the more often that
/// happened, so that doubts of a host that is hard to reach die down.
constexpr double MostRefutations = 4;
constexpr seconds RefutationsFade(4);

/// What a host says of how late it runs is borne up to this.
constexpr seconds MostLate(3);

double refutationsOf(const PeerRecord &Of, Time Now) {
  return std::max(0.0, Of.Refutations - inSeconds(Now - Of.RefutedAt) /
                                            inSeconds(RefutationsFade));
}

constexpr auto NameOf = [](const Member &Each) -> const HostId & {
  return Each.Listing.Id;
};

const EarlierLife *findEarlier(const PeerRecord &Of, Incarnation Life) {
  const auto Found = std::ranges::find(Of.Earlier, Life, &EarlierLife::Life);
  return Found == Of.Earlier.end() ? nullptr : &*Found;
}

} // namespace

std::optional<std::size_t> PeerTable::position(const HostId &Host) const {
  const auto Found = std::ranges::lower_bound(this->Members, Host, {}, NameOf);
  if (Found == this->Members.end() || Found->Listing.Id != Host)
    return std::nullopt;
  return Found - this->Members.begin();
}

bool PeerTable::isOver(const HostId &Host, Incarnation Life) const {
  if (Host == this->Self.Host)
    return Life != this->Self.Life;
  const auto At = this->position(Host);
  if (!At)
    return false;
  if (Life == this->Members[*At].Life)
    return this->Records[*At].Belief.Stands == LifeBelief::Standing::Dead;
  return findEarlier(this->Records[*At], Life) != nullptr;
}

bool PeerTable::hasLeft(const HostId &Host, Incarnation Life) const {
  const auto At = this->position(Host);
  if (!At)
    return false;
  if (Life == this->Members[*At].Life)
    return this->Records[*At].Belief.Leaving;
  const EarlierLife *Found = findEarlier(this->Records[*At], Life);
  return Found && Found->Left;
}

bool PeerTable::takeList(std::span<const HostListing> Listed, Time Now) {
  bool PlacesChanged = false;
  std::vector<HostId> Named;
  for (const HostListing &Each : Listed) {
    if (Each.Id == this->Self.Host)
      continue;
    Named.push_back(Each.Id);
    const auto Found = this->position(Each.Id);
    const std::size_t At = Found ? *Found : this->insert(Each, Now);
    const HostListing &Old = this->Members[At].Listing;
    PlacesChanged |= !Found || Old.Peers != Each.Peers ||
                     Old.Callers != Each.Callers || Old.Zone != Each.Zone;
    this->Members[At].Listing = Each;
    this->Records[At].UnlistedAt = Never;
    this->publish(At);
  }
  std::ranges::sort(Named);
  for (std::size_t At = 0; At < this->Members.size(); ++At)
    if (!std::ranges::binary_search(Named, this->Members[At].Listing.Id))
      this->Records[At].UnlistedAt =
          std::min(this->Records[At].UnlistedAt, Now);
  return PlacesChanged;
}

bool PeerTable::learn(const HostListing &Listing, Time Now) {
  if (Listing.Id == this->Self.Host)
    return false;
  const auto Found = this->position(Listing.Id);
  if (Found && this->Members[*Found].Listing == Listing)
    return false;
  const std::size_t At = Found ? *Found : this->insert(Listing, Now);
  this->Members[At].Listing = Listing;
  // No list names it, so it is forgotten some time after its death.
  this->Records[At].UnlistedAt = Now;
  this->publish(At);
  return true;
}

void PeerTable::takeHeartbeat(std::size_t At, Incarnation Life,
                              const Heartbeat &Beat, Time Now) {
  Member &Of = this->Members[At];
  PeerRecord &Record = this->Records[At];
  if (findEarlier(Record, Life))
    return;
  if (Of.Life == Incarnation())
    this->changeLife(At, Life);
  if (Of.Life != Life) {
    const bool Proved = Record.Candidate == Life && Beat.Acknowledges &&
                        Record.CandidateProbe != 0 &&
                        Beat.Sequence >= Record.CandidateProbe;
    if (Record.Candidate != Life)
      Record.CandidateProbe = 0;
    Record.Candidate = Life;
    if (!Proved)
      return;
    this->changeLife(At, Life);
  }
  Record.ProbedAt = Never;
  Record.Unanswered = 0;
  Record.Late = Beat.Late;
  const bool Differs = Of.Ready != Beat.Ready || Of.InForce != Beat.InForce;
  const bool ReadyNow = Beat.Ready && !Beat.Leaving;
  Of.LastHeard = Now;
  Of.Ready = Beat.Ready;
  Of.InForce = Beat.InForce;
  Of.LogConfirmedAt = std::max(Of.LogConfirmedAt, Beat.LogConfirmedAt);
  Of.EnginesKnownTo = Beat.EnginesKnownTo;
  Of.EnginesDigest = Beat.EnginesDigest;
  if (Differs)
    this->changeOf(Of.Listing.Id);
  this->believe(
      At, {Beat.Version, LifeBelief::Standing::Alive, Beat.Leaving, ReadyNow},
      Now);
}

void PeerTable::takeRumour(std::size_t At, const MemberUpdate &Rumour,
                           bool Trusting, Time Now) {
  const bool NeverHeard = this->Members[At].Life == Incarnation();
  const bool MayFollow =
      NeverHeard || (Trusting && this->Records[At].Belief.Stands !=
                                     LifeBelief::Standing::Alive);
  if (MayFollow && Rumour.Life != Incarnation() &&
      Rumour.Life != this->Members[At].Life &&
      !findEarlier(this->Records[At], Rumour.Life) &&
      Rumour.State != MemberState::Dead)
    this->changeLife(At, Rumour.Life);
  if (Rumour.Life == this->Members[At].Life) {
    this->believe(At, beliefOf(Rumour), Now);
    return;
  }
  PeerRecord &Record = this->Records[At];
  const bool MayBeNew = Rumour.State != MemberState::Dead &&
                        Rumour.Life != Incarnation() &&
                        !findEarlier(Record, Rumour.Life);
  if (!MayBeNew || Record.Candidate == Rumour.Life)
    return;
  Record.Candidate = Rumour.Life;
  Record.CandidateProbe = 0;
}

void PeerTable::noteProbe(std::size_t At, std::uint64_t Sequence, Time Now) {
  PeerRecord &Record = this->Records[At];
  Record.ProbedAt = std::min(Record.ProbedAt, Now);
  Record.LastProbedAt = Now;
  ++Record.Unanswered;
  if (Record.Candidate != Incarnation() && Record.CandidateProbe == 0)
    Record.CandidateProbe = Sequence;
}

void PeerTable::noteSample(Time HeardAt) {
  for (Member &Each : this->Members)
    if (Each.State == MemberState::Alive)
      Each.LastHeard = std::max(Each.LastHeard, HeardAt);
}

void PeerTable::age(double Patience, Time Now) {
  const Duration DeadAfter = this->deadAfter();
  for (std::size_t At = 0; At < this->Members.size(); ++At) {
    PeerRecord &Record = this->Records[At];
    LifeBelief Next = Record.Belief;
    const bool Silent =
        Record.ProbedAt != Never && Record.Unanswered >= LeastUnanswered &&
        Now >= Record.ProbedAt + this->suspectAfter(Record, Patience, Now);
    const bool WasSuspect = Next.Stands == LifeBelief::Standing::Suspect;
    if (WasSuspect && Record.SuspectedAt == Never && Silent)
      Record.SuspectedAt = Now;
    if (WasSuspect && Record.SuspectedAt != Never &&
        Now >= Record.SuspectedAt + DeadAfter)
      Next.Stands = LifeBelief::Standing::Dead;
    else if (Next.Stands == LifeBelief::Standing::Alive && Silent)
      Next.Stands = LifeBelief::Standing::Suspect;
    if (Next.Stands != Record.Belief.Stands) {
      this->changeOf(this->Members[At].Listing.Id).BySilence = true;
      Record.DoubtedHere = true;
    }
    this->believe(At, Next, Now);
  }
  this->forgetLongDead(Now);
}

void PeerTable::forgive(Time Now) {
  for (PeerRecord &Each : this->Records) {
    if (Each.ProbedAt != Never)
      Each.ProbedAt = Now;
    if (Each.SuspectedAt != Never)
      Each.SuspectedAt = Now;
  }
}

std::vector<PeerChange> PeerTable::takeChanges() {
  std::vector<PeerChange> Result;
  for (auto &[Host, Each] : this->Changes) {
    const auto At = this->position(Host);
    if (!At)
      continue;
    Each.At = *At;
    Result.push_back(Each);
  }
  this->Changes.clear();
  return Result;
}

std::size_t PeerTable::insert(const HostListing &Listing, Time Now) {
  const auto Found =
      std::ranges::lower_bound(this->Members, Listing.Id, {}, NameOf);
  const auto At = Found - this->Members.begin();
  Member Added;
  Added.Listing = Listing;
  Added.State = MemberState::Suspect;
  Added.LastHeard = Now;
  // Until it is heard it may not exist; until it is asked, silence is no sign.
  PeerRecord Record;
  Record.Belief.Stands = LifeBelief::Standing::Suspect;
  this->Members.insert(Found, std::move(Added));
  this->Records.insert(this->Records.begin() + At, std::move(Record));
  this->changeOf(Listing.Id).StateChanged = true;
  return At;
}

void PeerTable::changeLife(std::size_t At, Incarnation Life) {
  Member &Of = this->Members[At];
  PeerRecord &Record = this->Records[At];
  if (Of.Life != Incarnation())
    Record.Earlier.push_back({Of.Life, Record.Belief.Leaving});
  if (Record.Earlier.size() > MostEarlierLives)
    Record.Earlier.erase(Record.Earlier.begin());
  Of.Life = Life;
  Of.Ready = false;
  Of.LogConfirmedAt = Time{};
  Record.Belief = LifeBelief{};
  Record.SuspectedAt = Never;
  Record.DoubtedHere = false;
  Record.Unanswered = 0;
  Record.Refutations = 0;
  Record.Candidate = Incarnation();
  Record.CandidateProbe = 0;
  PeerChange &Change = this->changeOf(Of.Listing.Id);
  Change.StateChanged = true;
  Change.IsNews = true;
  this->publish(At);
}

void PeerTable::believe(std::size_t At, const LifeBelief &Belief, Time Now) {
  PeerRecord &Record = this->Records[At];
  const LifeBelief Next = join(Record.Belief, Belief);
  if (Next == Record.Belief)
    return;
  const bool WasSuspect = Record.Belief.Stands == LifeBelief::Standing::Suspect;
  const bool IsSuspect = Next.Stands == LifeBelief::Standing::Suspect;
  const bool Refuted = Next.Version > Record.Belief.Version;
  Record.Belief = Next;
  if (!IsSuspect)
    Record.SuspectedAt = Never;
  else if (!WasSuspect || Refuted)
    Record.SuspectedAt = Now;
  if (Refuted)
    this->noteRefuted(At, Now);
  if (this->Members[At].Life != Incarnation())
    this->changeOf(this->Members[At].Listing.Id).IsNews = true;
  this->publish(At);
}

void PeerTable::publish(std::size_t At) {
  Member &Of = this->Members[At];
  if (this->Records[At].Belief.Ready && !Of.Ready) {
    Of.Ready = true;
    this->changeOf(Of.Listing.Id);
  }
  MemberState Next = stateOf(this->Records[At].Belief);
  if (Of.Listing.Leaving && Next != MemberState::Dead)
    Next = MemberState::Leaving;
  if (Next == Of.State)
    return;
  Of.State = Next;
  this->changeOf(Of.Listing.Id).StateChanged = true;
}

PeerChange &PeerTable::changeOf(const HostId &Host) {
  return this->Changes[Host];
}

void PeerTable::forgetLongDead(Time Now) {
  for (std::size_t At = this->Members.size(); At-- > 0;) {
    const PeerRecord &Record = this->Records[At];
    const bool Keep = this->Members[At].State != MemberState::Dead ||
                      Record.UnlistedAt == Never ||
                      Now < Record.UnlistedAt + this->Timeouts.ForgetAfter;
    if (Keep)
      continue;
    const auto Position = static_cast<std::ptrdiff_t>(At);
    this->Members.erase(this->Members.begin() + Position);
    this->Records.erase(this->Records.begin() + Position);
  }
}

void PeerTable::noteRefuted(std::size_t At, Time Now) {
  PeerRecord &Record = this->Records[At];
  // It lives, whoever told us.
  Record.ProbedAt = Never;
  Record.Unanswered = 0;
  Record.Refutations =
      std::min(refutationsOf(Record, Now) + 1, MostRefutations);
  Record.RefutedAt = Now;
  if (std::exchange(Record.DoubtedHere, false))
    this->changeOf(this->Members[At].Listing.Id).Mistaken = true;
}

Duration PeerTable::suspectAfter(const PeerRecord &Of, double Patience,
                                 Time Now) const {
  const double Usual = inSeconds(this->Timeouts.SuspectAfter);
  return fromSeconds(Usual * (Patience + refutationsOf(Of, Now))) +
         std::min(Of.Late, Duration(MostLate));
}

Duration PeerTable::deadAfter() const {
  // A refutation needs more rounds to reach everybody when there are more.
  const double Hosts = static_cast<double>(this->Members.size()) + 1;
  const double Scale = std::max(1.0, std::log10(Hosts));
  return fromSeconds(inSeconds(this->Timeouts.DeadAfter) * Scale);
}

} // namespace banyanpick
