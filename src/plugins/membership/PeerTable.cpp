#include "plugins/membership/PeerTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyanpick {

namespace {

/// Past incarnations remembered for each host.
constexpr std::size_t MaxPastIncarnations = 16;

/// A peer is not suspected for one lost message.
constexpr std::uint32_t MinUnanswered = 2;

/// Maximum number of refutations that count. Each one lengthens the suspicion
/// timeout of the host, so that a host that is hard to reach is no longer
/// suspected again and again.
constexpr double MaxRefutations = 4;
/// Time after which one refutation fewer counts.
constexpr seconds RefutationDecay(4);

/// Upper bound of the reported lateness that lengthens the suspicion timeout.
constexpr seconds MaxReportedLateness(3);

double currentRefutations(const PeerRecord &Record, Time Now) {
  return std::max(0.0, Record.Refutations - inSeconds(Now - Record.RefutedAt) /
                                                inSeconds(RefutationDecay));
}

constexpr auto HostIdOf = [](const Member &Peer) -> const HostId & {
  return Peer.Listing.Id;
};

const PastIncarnation *findPastIncarnation(const PeerRecord &Record,
                                           Incarnation Life) {
  const auto Found =
      std::ranges::find(Record.PastIncarnations, Life, &PastIncarnation::Life);
  return Found == Record.PastIncarnations.end() ? nullptr : &*Found;
}

} // namespace

std::optional<std::size_t> PeerTable::position(const HostId &Host) const {
  const auto Found =
      std::ranges::lower_bound(this->Members, Host, {}, HostIdOf);
  if (Found == this->Members.end() || Found->Listing.Id != Host)
    return std::nullopt;
  return Found - this->Members.begin();
}

bool PeerTable::hasEnded(const HostId &Host, Incarnation Life) const {
  if (Host == this->Self.Host)
    return Life != this->Self.Life;
  const auto Index = this->position(Host);
  if (!Index)
    return false;
  if (Life == this->Members[*Index].Life)
    return this->Records[*Index].MergedState.Status ==
           IncarnationState::Liveness::Dead;
  return findPastIncarnation(this->Records[*Index], Life) != nullptr;
}

bool PeerTable::hasLeft(const HostId &Host, Incarnation Life) const {
  const auto Index = this->position(Host);
  if (!Index)
    return false;
  if (Life == this->Members[*Index].Life)
    return this->Records[*Index].MergedState.Leaving;
  const PastIncarnation *Found =
      findPastIncarnation(this->Records[*Index], Life);
  return Found && Found->Left;
}

bool PeerTable::applyHostList(std::span<const HostListing> Listed, Time Now) {
  bool AddressesChanged = false;
  std::vector<HostId> ListedIds;
  for (const HostListing &Listing : Listed) {
    if (Listing.Id == this->Self.Host)
      continue;
    ListedIds.push_back(Listing.Id);
    const auto Found = this->position(Listing.Id);
    const std::size_t Index = Found ? *Found : this->insert(Listing, Now);
    const HostListing &Old = this->Members[Index].Listing;
    AddressesChanged |= !Found || Old.Peers != Listing.Peers ||
                        Old.Callers != Listing.Callers ||
                        Old.Zone != Listing.Zone;
    this->Members[Index].Listing = Listing;
    this->Records[Index].UnlistedAt = Never;
    this->updateMember(Index);
  }
  std::ranges::sort(ListedIds);
  for (std::size_t Index = 0; Index < this->Members.size(); ++Index)
    if (!std::ranges::binary_search(ListedIds, this->Members[Index].Listing.Id))
      this->Records[Index].UnlistedAt =
          std::min(this->Records[Index].UnlistedAt, Now);
  return AddressesChanged;
}

bool PeerTable::learn(const HostListing &Listing, Time Now) {
  if (Listing.Id == this->Self.Host)
    return false;
  const auto Found = this->position(Listing.Id);
  if (Found && this->Members[*Found].Listing == Listing)
    return false;
  const std::size_t Index = Found ? *Found : this->insert(Listing, Now);
  this->Members[Index].Listing = Listing;
  // The host is in no host list, so it is removed some time after its death.
  this->Records[Index].UnlistedAt = Now;
  this->updateMember(Index);
  return true;
}

void PeerTable::handleHeartbeat(std::size_t Index, Incarnation Life,
                                const Heartbeat &Beat, Time Now) {
  Member &Peer = this->Members[Index];
  PeerRecord &Record = this->Records[Index];
  if (findPastIncarnation(Record, Life))
    return;
  if (Peer.Life == Incarnation())
    this->changeIncarnation(Index, Life);
  if (Peer.Life != Life) {
    const bool Proved = Record.Candidate == Life && Beat.Acknowledges &&
                        Record.CandidateProbe != 0 &&
                        Beat.Sequence >= Record.CandidateProbe;
    if (Record.Candidate != Life)
      Record.CandidateProbe = 0;
    Record.Candidate = Life;
    if (!Proved)
      return;
    this->changeIncarnation(Index, Life);
  }
  Record.ProbedAt = Never;
  Record.Unanswered = 0;
  Record.KnowsSelf |= Beat.Acknowledges;
  Record.Late = Beat.Late;
  const bool Differs = Peer.Ready != Beat.Ready || Peer.InForce != Beat.InForce;
  const bool ReadyNow = Beat.Ready && !Beat.Leaving;
  Peer.LastHeard = Now;
  Peer.Ready = Beat.Ready;
  Peer.InForce = Beat.InForce;
  Peer.LogConfirmedAt = std::max(Peer.LogConfirmedAt, Beat.LogConfirmedAt);
  Peer.EnginesKnownTo = Beat.EnginesKnownTo;
  Peer.EnginesDigest = Beat.EnginesDigest;
  if (Differs)
    this->changeOf(Peer.Listing.Id);
  this->joinState(Index,
                  {Beat.Version, IncarnationState::Liveness::Alive,
                   Beat.Leaving, ReadyNow, Beat.CutOff},
                  Now);
}

void PeerTable::applyUpdate(std::size_t Index, const MemberUpdate &Update,
                            bool AcceptUnconfirmed, Time Now) {
  const bool NeverHeard = this->Members[Index].Life == Incarnation();
  // An incarnation that leaves is followed by another one. If each host had to
  // confirm that, a host that restarts would be contacted by all of them.
  const IncarnationState &Known = this->Records[Index].MergedState;
  const bool MayHaveEnded =
      Known.Leaving || Known.Status != IncarnationState::Liveness::Alive;
  const bool MayFollow = NeverHeard || (AcceptUnconfirmed && MayHaveEnded);
  if (MayFollow && Update.Life != Incarnation() &&
      Update.Life != this->Members[Index].Life &&
      !findPastIncarnation(this->Records[Index], Update.Life) &&
      Update.State != MemberState::Dead)
    this->changeIncarnation(Index, Update.Life);
  if (Update.Life == this->Members[Index].Life) {
    this->joinState(Index, incarnationState(Update), Now);
    return;
  }
  PeerRecord &Record = this->Records[Index];
  const bool MayBeNew = Update.State != MemberState::Dead &&
                        Update.Life != Incarnation() &&
                        !findPastIncarnation(Record, Update.Life);
  if (!MayBeNew || Record.Candidate == Update.Life)
    return;
  Record.Candidate = Update.Life;
  Record.CandidateProbe = 0;
}

void PeerTable::noteProbe(std::size_t Index, std::uint64_t Sequence, Time Now) {
  PeerRecord &Record = this->Records[Index];
  Record.ProbedAt = std::min(Record.ProbedAt, Now);
  Record.LastProbedAt = Now;
  ++Record.Unanswered;
  if (Record.Candidate != Incarnation() && Record.CandidateProbe == 0)
    Record.CandidateProbe = Sequence;
}

void PeerTable::noteSample(Time HeardAt) {
  for (Member &Peer : this->Members)
    if (Peer.State == MemberState::Alive)
      Peer.LastHeard = std::max(Peer.LastHeard, HeardAt);
}

void PeerTable::detectFailures(double TimeoutMultiplier, Time Now) {
  const Duration DeadAfter = this->deadAfter();
  for (std::size_t Index = 0; Index < this->Members.size(); ++Index) {
    PeerRecord &Record = this->Records[Index];
    IncarnationState Next = Record.MergedState;
    const bool Silent =
        Record.ProbedAt != Never && Record.Unanswered >= MinUnanswered &&
        Now >= Record.ProbedAt +
                   this->suspectAfter(Record, TimeoutMultiplier, Now);
    const bool WasSuspect = Next.Status == IncarnationState::Liveness::Suspect;
    if (WasSuspect && Record.SuspectedAt == Never && Silent)
      Record.SuspectedAt = Now;
    if (WasSuspect && Record.SuspectedAt != Never &&
        Now >= Record.SuspectedAt + DeadAfter)
      Next.Status = IncarnationState::Liveness::Dead;
    else if (Next.Status == IncarnationState::Liveness::Alive && Silent)
      Next.Status = IncarnationState::Liveness::Suspect;
    if (Next.Status != Record.MergedState.Status) {
      this->changeOf(this->Members[Index].Listing.Id).BySilence = true;
      Record.SuspectedHere = true;
    }
    this->joinState(Index, Next, Now);
  }
  this->removeExpired(Now);
}

void PeerTable::restartTimeouts(Time Now) {
  for (PeerRecord &Record : this->Records) {
    if (Record.ProbedAt != Never)
      Record.ProbedAt = Now;
    if (Record.SuspectedAt != Never)
      Record.SuspectedAt = Now;
  }
}

std::vector<PeerChange> PeerTable::takeChanges() {
  std::vector<PeerChange> Result;
  for (auto &[Host, Change] : this->Changes) {
    const auto Index = this->position(Host);
    if (!Index)
      continue;
    Change.Index = *Index;
    Result.push_back(Change);
  }
  this->Changes.clear();
  return Result;
}

void PeerTable::withholdChanges() {
  for (auto &[Host, Change] : this->Changes)
    Change.Disseminate = false;
}

MemberUpdate PeerTable::updateOf(std::size_t Index) const {
  const Member &Peer = this->Members[Index];
  const IncarnationState &MergedState = this->Records[Index].MergedState;
  return {Peer.Listing.Id,          Peer.Life,         MergedState.Version,
          memberState(MergedState), MergedState.Ready, MergedState.CutOff};
}

void PeerTable::updateDigest(std::size_t Index) {
  std::uint64_t &Counted = this->Records[Index].Digest;
  const std::uint64_t Next = memberDigest(this->updateOf(Index));
  this->Digests.replace(Counted, Next);
  Counted = Next;
}

std::size_t PeerTable::insert(const HostListing &Listing, Time Now) {
  const auto Found =
      std::ranges::lower_bound(this->Members, Listing.Id, {}, HostIdOf);
  const auto Index = Found - this->Members.begin();
  Member Added;
  Added.Listing = Listing;
  Added.State = MemberState::Suspect;
  Added.LastHeard = Now;
  // Until the peer is heard, it may not exist. Until it is probed, its silence
  // has no meaning.
  PeerRecord Record;
  Record.MergedState.Status = IncarnationState::Liveness::Suspect;
  this->Members.insert(Found, std::move(Added));
  this->Records.insert(this->Records.begin() + Index, std::move(Record));
  this->changeOf(Listing.Id).StateChanged = true;
  return Index;
}

void PeerTable::changeIncarnation(std::size_t Index, Incarnation Life) {
  Member &Peer = this->Members[Index];
  PeerRecord &Record = this->Records[Index];
  if (Peer.Life != Incarnation())
    Record.PastIncarnations.push_back({Peer.Life, Record.MergedState.Leaving});
  if (Record.PastIncarnations.size() > MaxPastIncarnations)
    Record.PastIncarnations.erase(Record.PastIncarnations.begin());
  Peer.Life = Life;
  Peer.Ready = false;
  Peer.LogConfirmedAt = Time{};
  Record.MergedState = IncarnationState{};
  Record.SuspectedAt = Never;
  Record.SuspectedHere = false;
  Record.KnowsSelf = false;
  Record.Unanswered = 0;
  Record.Refutations = 0;
  Record.Candidate = Incarnation();
  Record.CandidateProbe = 0;
  PeerChange &Change = this->changeOf(Peer.Listing.Id);
  Change.StateChanged = true;
  Change.Disseminate = true;
  this->updateMember(Index);
}

void PeerTable::joinState(std::size_t Index, const IncarnationState &Update,
                          Time Now) {
  PeerRecord &Record = this->Records[Index];
  const IncarnationState Next = join(Record.MergedState, Update);
  if (Next == Record.MergedState)
    return;
  const bool WasSuspect =
      Record.MergedState.Status == IncarnationState::Liveness::Suspect;
  const bool IsSuspect = Next.Status == IncarnationState::Liveness::Suspect;
  const bool Refuted = Next.Version > Record.MergedState.Version;
  Record.MergedState = Next;
  if (!IsSuspect)
    Record.SuspectedAt = Never;
  else if (!WasSuspect || Refuted)
    Record.SuspectedAt = Now;
  if (Refuted)
    this->noteRefuted(Index, Now);
  if (this->Members[Index].Life != Incarnation())
    this->changeOf(this->Members[Index].Listing.Id).Disseminate = true;
  this->updateMember(Index);
}

void PeerTable::updateMember(std::size_t Index) {
  this->updateDigest(Index);
  Member &Peer = this->Members[Index];
  if (this->Records[Index].MergedState.Ready && !Peer.Ready) {
    Peer.Ready = true;
    this->changeOf(Peer.Listing.Id);
  }
  if (this->Records[Index].MergedState.CutOff != Peer.CutOff) {
    Peer.CutOff = !Peer.CutOff;
    this->changeOf(Peer.Listing.Id);
  }
  MemberState Next = memberState(this->Records[Index].MergedState);
  if (Peer.Listing.Leaving && Next != MemberState::Dead)
    Next = MemberState::Leaving;
  if (Next == Peer.State)
    return;
  Peer.State = Next;
  this->changeOf(Peer.Listing.Id).StateChanged = true;
}

PeerChange &PeerTable::changeOf(const HostId &Host) {
  return this->Changes[Host];
}

void PeerTable::removeExpired(Time Now) {
  for (std::size_t Index = this->Members.size(); Index-- > 0;) {
    const PeerRecord &Record = this->Records[Index];
    const bool Keep = this->Members[Index].State != MemberState::Dead ||
                      Record.UnlistedAt == Never ||
                      Now < Record.UnlistedAt + this->Timeouts.ForgetAfter;
    if (Keep)
      continue;
    const auto Position = static_cast<std::ptrdiff_t>(Index);
    this->Digests.replace(Record.Digest, 0);
    this->Members.erase(this->Members.begin() + Position);
    this->Records.erase(this->Records.begin() + Position);
  }
}

void PeerTable::noteRefuted(std::size_t Index, Time Now) {
  PeerRecord &Record = this->Records[Index];
  // The peer is alive, whichever host reported the refutation.
  Record.ProbedAt = Never;
  Record.Unanswered = 0;
  Record.Refutations =
      std::min(currentRefutations(Record, Now) + 1, MaxRefutations);
  Record.RefutedAt = Now;
  if (std::exchange(Record.SuspectedHere, false))
    this->changeOf(this->Members[Index].Listing.Id).FalselySuspected = true;
}

Duration PeerTable::suspectAfter(const PeerRecord &Record,
                                 double TimeoutMultiplier, Time Now) const {
  const double Usual = inSeconds(this->Timeouts.SuspectAfter);
  return fromSeconds(Usual *
                     (TimeoutMultiplier + currentRefutations(Record, Now))) +
         std::min(Record.Late, Duration(MaxReportedLateness));
}

Duration PeerTable::deadAfter() const {
  // With more hosts a refutation needs more rounds to reach all of them.
  const double Hosts = static_cast<double>(this->Members.size()) + 1;
  const double Scale = std::max(1.0, std::log10(Hosts));
  return fromSeconds(inSeconds(this->Timeouts.DeadAfter) * Scale);
}

} // namespace banyanpick
