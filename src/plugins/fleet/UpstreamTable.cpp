#include "plugins/fleet/UpstreamTable.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Lives over that are remembered of one upstream.
constexpr std::size_t MostPastLives = 8;
/// Relayed reports come more rarely than own polls are answered.
constexpr int RelayedStaleFactor = 3;
/// Refused connections in a row after which nothing listens there.
constexpr std::uint32_t RefusalsOfTheDead = 2;

template <class Index, class Key>
std::span<const std::uint32_t> lookUp(const Index &In, const Key &Wanted) {
  const auto Found = In.find(Wanted);
  if (Found == In.end())
    return {};
  return Found->second;
}

} // namespace

const std::uint32_t *UpstreamTable::position(const UpstreamId &Id) const {
  const auto Found = this->Positions.find(Id);
  return Found == this->Positions.end() ? nullptr : &Found->second;
}

std::span<const std::uint32_t>
UpstreamTable::enginesWith(const ModelId &Model) const {
  return lookUp(this->ByModel, Model);
}

std::span<const std::uint32_t>
UpstreamTable::applications(const std::string &Service) const {
  return lookUp(this->ByService, Service);
}

bool UpstreamTable::takeList(std::span<const UpstreamListing> Listed,
                             Time Now) {
  bool Added = false;
  bool Reindex = false;
  for (Record &Each : this->Records)
    Each.UnlistedAt = std::min(Each.UnlistedAt, Now);
  for (const UpstreamListing &Each : Listed) {
    if (const std::uint32_t *Found = this->position(Each.Id)) {
      Reindex |= this->takeListing(*Found, Each, Now);
      continue;
    }
    // Appended for now; the sort below brings everything into order.
    Added = true;
    Upstream New;
    New.Listing = Each;
    this->Positions.emplace(Each.Id,
                            static_cast<std::uint32_t>(this->Known.size()));
    this->Known.push_back(std::move(New));
    Record Fresh;
    Fresh.Leaving = Each.Leaving;
    this->Records.push_back(std::move(Fresh));
    this->Changed[Each.Id];
  }
  const std::size_t Before = this->Known.size();
  this->forgetUnlisted(Now);
  const bool Moved = Added || this->Known.size() != Before;
  if (Moved || Reindex)
    this->rebuildIndexes();
  for (std::uint32_t At = 0; At < this->Known.size(); ++At)
    this->publish(At, Now);
  return Moved;
}

bool UpstreamTable::takeListing(std::uint32_t At,
                                const UpstreamListing &Listing, Time Now) {
  Upstream &Of = this->Known[At];
  Record &Kept = this->Records[At];
  Kept.UnlistedAt = Never;
  const bool IsOver = std::ranges::count(Kept.Past, Listing.Life) != 0;
  // The list lags: what the upstream itself just said goes first.
  const bool HeardLately = Kept.OwnReportAt != Time{} &&
                           Now < Kept.OwnReportAt + this->Timeouts.StaleAfter;
  if (Listing.Life != Of.Listing.Life && !IsOver && !HeardLately)
    this->changeLife(At, Listing.Life);
  if (Listing.Leaving && Listing.Life == Of.Listing.Life)
    this->noteLeaving(At, Listing.Life, SignSource::OwnExperience, Now);
  const bool Reindex = Of.Listing.Kind != Listing.Kind ||
                       Of.Listing.Application != Listing.Application;
  const Incarnation Life = Of.Listing.Life;
  Of.Listing = Listing;
  Of.Listing.Life = Life;
  return Reindex;
}

void UpstreamTable::takeOwnReport(std::uint32_t At, const LoadReport &Report,
                                  Time Now) {
  // An answer to our poll is from the life that runs now.
  if (Report.Life != this->Known[At].Listing.Life)
    this->changeLife(At, Report.Life);
  Record &Kept = this->Records[At];
  Kept.OwnReportAt = Now;
  Kept.LastWasRelayed = false;
  Kept.Dead = false;
  Kept.Refusals = 0;
  this->store(At, Report, Now);
}

void UpstreamTable::takeRelayedReport(std::uint32_t At,
                                      const LoadReport &Report, Time Now) {
  Record &Kept = this->Records[At];
  const Upstream &Of = this->Known[At];
  const bool IsOver = std::ranges::count(Kept.Past, Report.Life) != 0;
  if (IsOver || Report.MeasuredAt <= Of.Report.MeasuredAt)
    return;
  if (Report.Life != Of.Listing.Life)
    this->changeLife(At, Report.Life);
  if (Kept.Dead && Report.MeasuredAt > Kept.DeadAt)
    Kept.Dead = false;
  Kept.LastWasRelayed = true;
  LoadReport Joined = Report;
  Joined.Holds = Of.Report.Holds; // Peers pass them not on.
  this->store(At, Joined, Now);
}

void UpstreamTable::noteLeaving(std::uint32_t At, Incarnation Life,
                                SignSource From, Time Now) {
  Record &Kept = this->Records[At];
  if (Life != this->Known[At].Listing.Life || Kept.Leaving)
    return;
  Kept.Leaving = true;
  Kept.HeardFromPeer = From == SignSource::Peer;
  this->publish(At, Now);
}

void UpstreamTable::noteRefused(std::uint32_t At, Time Now) {
  Record &Kept = this->Records[At];
  if (++Kept.Refusals < RefusalsOfTheDead || Kept.Dead)
    return;
  Kept.Dead = true;
  Kept.DeadAt = Now;
  Kept.HeardFromPeer = false;
  this->publish(At, Now);
}

void UpstreamTable::noteDead(std::uint32_t At, Incarnation Life, Time Now) {
  Record &Kept = this->Records[At];
  const bool HeardLately = Kept.OwnReportAt != Time{} &&
                           Now < Kept.OwnReportAt + this->Timeouts.StaleAfter;
  // Who hears it himself knows better; his own polls will tell.
  if (Life != this->Known[At].Listing.Life || Kept.Dead ||
      (HeardLately && Kept.Refusals == 0))
    return;
  Kept.Dead = true;
  Kept.DeadAt = Now;
  Kept.HeardFromPeer = true;
  this->publish(At, Now);
}

void UpstreamTable::age(Time Now) {
  for (std::uint32_t At = 0; At < this->Known.size(); ++At) {
    Record &Kept = this->Records[At];
    const Time HeardAt = this->Known[At].ReportAt;
    const bool Silent =
        HeardAt != Time{} && Now >= HeardAt + this->Timeouts.DeadAfter;
    if (Silent && !Kept.Dead) {
      Kept.Dead = true;
      Kept.DeadAt = Now;
      Kept.HeardFromPeer = false;
    }
    this->publish(At, Now);
  }
}

std::vector<UpstreamChange> UpstreamTable::takeChanges() {
  std::vector<UpstreamChange> Result;
  for (const auto &[Id, TellPeers] : this->Changed)
    if (const std::uint32_t *At = this->position(Id))
      Result.push_back({*At, TellPeers});
  this->Changed.clear();
  return Result;
}

void UpstreamTable::changeLife(std::uint32_t At, Incarnation Life) {
  Upstream &Of = this->Known[At];
  Record &Kept = this->Records[At];
  std::erase(Kept.Past, Life);
  Kept.Past.push_back(Of.Listing.Life);
  if (Kept.Past.size() > MostPastLives)
    Kept.Past.erase(Kept.Past.begin());
  Of.Listing.Life = Life;
  Of.Report = LoadReport{};
  Of.ReportAt = Time{};
  Kept.Leaving = false;
  Kept.Dead = false;
  Kept.Refusals = 0;
  this->Changed[Of.Listing.Id];
}

void UpstreamTable::store(std::uint32_t At, const LoadReport &Report,
                          Time Now) {
  Upstream &Of = this->Known[At];
  const bool Reindex = Of.Report.Models != Report.Models;
  if (Report.MeasuredAt >= Of.Report.MeasuredAt)
    Of.Report = Report;
  Of.ReportAt = Now;
  if (Report.Leaving)
    this->noteLeaving(At, Report.Life, SignSource::OwnExperience, Now);
  this->publish(At, Now);
  if (Reindex)
    this->rebuildIndexes();
}

UpstreamState UpstreamTable::stateOf(std::uint32_t At, Time Now) const {
  const Upstream &Of = this->Known[At];
  const Record &Kept = this->Records[At];
  const bool Unlisted = Kept.UnlistedAt != Never &&
                        Now >= Kept.UnlistedAt + this->Timeouts.UnlistedGrace;
  if (Kept.Dead)
    return UpstreamState::Dead;
  if (Kept.Leaving || Unlisted)
    return UpstreamState::Leaving;
  const bool Fresh =
      Of.ReportAt != Time{} && Now < Of.ReportAt + this->Timeouts.StaleAfter;
  return Fresh ? UpstreamState::Live : UpstreamState::Unknown;
}

void UpstreamTable::publish(std::uint32_t At, Time Now) {
  Upstream &Of = this->Known[At];
  const UpstreamState Next = this->stateOf(At, Now);
  if (Next == Of.State)
    return;
  Of.State = Next;
  const bool Closed =
      Next == UpstreamState::Leaving || Next == UpstreamState::Dead;
  this->Changed[Of.Listing.Id] = Closed && !this->Records[At].HeardFromPeer;
}

void UpstreamTable::forgetUnlisted(Time Now) {
  std::vector<Upstream> Known;
  std::vector<Record> Records;
  std::vector<std::uint32_t> Order;
  for (std::uint32_t At = 0; At < this->Known.size(); ++At) {
    const Time UnlistedAt = this->Records[At].UnlistedAt;
    const Time LastSign = std::max(UnlistedAt, this->Known[At].ReportAt);
    const bool Forget =
        UnlistedAt != Never && Now >= LastSign + this->Timeouts.ForgetAfter;
    if (!Forget)
      Order.push_back(At);
  }
  const auto IdAt = [this](std::uint32_t At) -> const UpstreamId & {
    return this->Known[At].Listing.Id;
  };
  if (Order.size() == this->Known.size() &&
      std::ranges::is_sorted(Order, {}, IdAt))
    return;
  std::ranges::sort(Order, {}, IdAt);
  for (const std::uint32_t At : Order) {
    Known.push_back(std::move(this->Known[At]));
    Records.push_back(std::move(this->Records[At]));
  }
  this->Known = std::move(Known);
  this->Records = std::move(Records);
}

void UpstreamTable::rebuildIndexes() {
  this->Positions.clear();
  this->ByModel.clear();
  this->ByService.clear();
  for (std::uint32_t At = 0; At < this->Known.size(); ++At) {
    const Upstream &Each = this->Known[At];
    this->Positions.emplace(Each.Listing.Id, At);
    if (Each.Listing.Kind == UpstreamKind::Application)
      this->ByService[Each.Listing.Application].push_back(At);
    for (const ModelId &Model : Each.Report.Models)
      this->ByModel[Model].push_back(At);
  }
}

} // namespace banyanpick
