#include "plugins/fleet/UpstreamTable.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Past incarnations remembered for each upstream.
constexpr std::size_t MaxPastIncarnations = 8;
/// Relayed reports arrive less often than answers to own polls.
constexpr int RelayedStaleFactor = 3;
/// Consecutive refused connections after which no process is assumed to listen
/// at the address, so that the upstream counts as dead.
constexpr std::uint32_t RefusalsUntilDead = 2;

template <class Index, class Key>
std::span<const std::uint32_t> lookUp(const Index &Map, const Key &SearchKey) {
  const auto Found = Map.find(SearchKey);
  if (Found == Map.end())
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

bool UpstreamTable::applyHostList(std::span<const UpstreamListing> Listed,
                                  Time Now) {
  bool Added = false;
  bool Reindex = false;
  for (UpstreamRecord &Record : this->Records)
    Record.UnlistedAt = std::min(Record.UnlistedAt, Now);
  for (const UpstreamListing &Listing : Listed) {
    if (const std::uint32_t *Position = this->position(Listing.Id)) {
      Reindex |= this->applyListing(*Position, Listing, Now);
      continue;
    }
    // Appended here; removeUnlisted() below restores the order.
    Added = true;
    Upstream New;
    New.Listing = Listing;
    this->Positions.emplace(Listing.Id,
                            static_cast<std::uint32_t>(this->Upstreams.size()));
    this->Upstreams.push_back(std::move(New));
    UpstreamRecord Fresh;
    Fresh.Leaving = Listing.Leaving;
    this->Records.push_back(std::move(Fresh));
    this->Changed[Listing.Id];
  }
  const std::size_t Before = this->Upstreams.size();
  this->removeUnlisted(Now);
  const bool Moved = Added || this->Upstreams.size() != Before;
  if (Moved || Reindex)
    this->rebuildIndexes();
  for (std::uint32_t Index = 0; Index < this->Upstreams.size(); ++Index)
    this->updateState(Index, Now);
  return Moved;
}

bool UpstreamTable::applyListing(std::uint32_t Index,
                                 const UpstreamListing &Listing, Time Now) {
  Upstream &Entry = this->Upstreams[Index];
  UpstreamRecord &Record = this->Records[Index];
  Record.UnlistedAt = Never;
  const bool HasEnded =
      std::ranges::count(Record.PastIncarnations, Listing.Life) != 0;
  // The list may be out of date, so a recent report of the upstream itself
  // takes precedence.
  const bool HeardRecently =
      Record.OwnReportAt != Time{} &&
      Now < Record.OwnReportAt + this->Timeouts.StaleAfter;
  if (Listing.Life != Entry.Listing.Life && !HasEnded && !HeardRecently)
    this->changeIncarnation(Index, Listing.Life);
  if (Listing.Leaving && Listing.Life == Entry.Listing.Life)
    this->noteLeaving(Index, Listing.Life, ReportSource::OwnObservation, Now);
  const bool Reindex = Entry.Listing.Kind != Listing.Kind ||
                       Entry.Listing.Application != Listing.Application;
  const Incarnation Life = Entry.Listing.Life;
  Entry.Listing = Listing;
  Entry.Listing.Life = Life;
  return Reindex;
}

void UpstreamTable::applyOwnReport(std::uint32_t Index,
                                   const LoadReport &Report, Time Now) {
  // An answer to an own poll comes from the incarnation that runs now.
  if (Report.Life != this->Upstreams[Index].Listing.Life)
    this->changeIncarnation(Index, Report.Life);
  UpstreamRecord &Record = this->Records[Index];
  Record.OwnReportAt = Now;
  Record.LastWasRelayed = false;
  Record.Dead = false;
  Record.Refusals = 0;
  this->storeReport(Index, Report, Now);
}

void UpstreamTable::applyRelayedReport(std::uint32_t Index,
                                       const LoadReport &Report, Time Now) {
  UpstreamRecord &Record = this->Records[Index];
  const Upstream &Entry = this->Upstreams[Index];
  const bool HasEnded =
      std::ranges::count(Record.PastIncarnations, Report.Life) != 0;
  if (HasEnded || Report.MeasuredAt <= Entry.Report.MeasuredAt)
    return;
  if (Report.Life != Entry.Listing.Life)
    this->changeIncarnation(Index, Report.Life);
  if (Record.Dead && Report.MeasuredAt > Record.DeadAt)
    Record.Dead = false;
  Record.LastWasRelayed = true;
  LoadReport Merged = Report;
  Merged.Holds = Entry.Report.Holds; // Peers don't relay holds.
  this->storeReport(Index, Merged, Now);
}

void UpstreamTable::noteLeaving(std::uint32_t Index, Incarnation Life,
                                ReportSource Source, Time Now) {
  UpstreamRecord &Record = this->Records[Index];
  if (Life != this->Upstreams[Index].Listing.Life || Record.Leaving)
    return;
  Record.Leaving = true;
  Record.ReportedByPeer = Source == ReportSource::Peer;
  this->updateState(Index, Now);
}

void UpstreamTable::noteRefused(std::uint32_t Index, Time Now) {
  UpstreamRecord &Record = this->Records[Index];
  if (++Record.Refusals < RefusalsUntilDead || Record.Dead)
    return;
  Record.Dead = true;
  Record.DeadAt = Now;
  Record.ReportedByPeer = false;
  this->updateState(Index, Now);
}

void UpstreamTable::noteDead(std::uint32_t Index, Incarnation Life, Time Now) {
  UpstreamRecord &Record = this->Records[Index];
  const bool HeardRecently =
      Record.OwnReportAt != Time{} &&
      Now < Record.OwnReportAt + this->Timeouts.StaleAfter;
  // A host with recent reports of its own relies on its own polls instead.
  if (Life != this->Upstreams[Index].Listing.Life || Record.Dead ||
      (HeardRecently && Record.Refusals == 0))
    return;
  Record.Dead = true;
  Record.DeadAt = Now;
  Record.ReportedByPeer = true;
  this->updateState(Index, Now);
}

void UpstreamTable::detectFailures(Time Now) {
  for (std::uint32_t Index = 0; Index < this->Upstreams.size(); ++Index) {
    UpstreamRecord &Record = this->Records[Index];
    const Time HeardAt = this->Upstreams[Index].ReportAt;
    const bool Silent =
        HeardAt != Time{} && Now >= HeardAt + this->Timeouts.DeadAfter;
    if (Silent && !Record.Dead) {
      Record.Dead = true;
      Record.DeadAt = Now;
      Record.ReportedByPeer = false;
    }
    this->updateState(Index, Now);
  }
}

std::vector<UpstreamChange> UpstreamTable::takeChanges() {
  std::vector<UpstreamChange> Result;
  for (const auto &[Id, NotifyPeers] : this->Changed)
    if (const std::uint32_t *Index = this->position(Id))
      Result.push_back({*Index, NotifyPeers});
  this->Changed.clear();
  return Result;
}

void UpstreamTable::changeIncarnation(std::uint32_t Index, Incarnation Life) {
  Upstream &Entry = this->Upstreams[Index];
  UpstreamRecord &Record = this->Records[Index];
  std::erase(Record.PastIncarnations, Life);
  Record.PastIncarnations.push_back(Entry.Listing.Life);
  if (Record.PastIncarnations.size() > MaxPastIncarnations)
    Record.PastIncarnations.erase(Record.PastIncarnations.begin());
  Entry.Listing.Life = Life;
  Entry.Report = LoadReport{};
  Entry.ReportAt = Time{};
  Record.Leaving = false;
  Record.Dead = false;
  Record.Refusals = 0;
  this->Changed[Entry.Listing.Id];
}

void UpstreamTable::storeReport(std::uint32_t Index, const LoadReport &Report,
                                Time Now) {
  Upstream &Entry = this->Upstreams[Index];
  const bool Reindex = Entry.Report.Models != Report.Models;
  if (Report.MeasuredAt >= Entry.Report.MeasuredAt)
    Entry.Report = Report;
  Entry.ReportAt = Now;
  if (Report.Leaving)
    this->noteLeaving(Index, Report.Life, ReportSource::OwnObservation, Now);
  this->updateState(Index, Now);
  if (Reindex)
    this->rebuildIndexes();
}

UpstreamState UpstreamTable::stateOf(std::uint32_t Index, Time Now) const {
  const Upstream &Entry = this->Upstreams[Index];
  const UpstreamRecord &Record = this->Records[Index];
  const bool Unlisted = Record.UnlistedAt != Never &&
                        Now >= Record.UnlistedAt + this->Timeouts.UnlistedGrace;
  if (Record.Dead)
    return UpstreamState::Dead;
  if (Record.Leaving || Unlisted)
    return UpstreamState::Leaving;
  const bool Fresh = Entry.ReportAt != Time{} &&
                     Now < Entry.ReportAt + this->Timeouts.StaleAfter;
  return Fresh ? UpstreamState::Live : UpstreamState::Unknown;
}

void UpstreamTable::updateState(std::uint32_t Index, Time Now) {
  Upstream &Entry = this->Upstreams[Index];
  const UpstreamState Next = this->stateOf(Index, Now);
  if (Next == Entry.State)
    return;
  Entry.State = Next;
  const bool Closed =
      Next == UpstreamState::Leaving || Next == UpstreamState::Dead;
  this->Changed[Entry.Listing.Id] =
      Closed && !this->Records[Index].ReportedByPeer;
}

void UpstreamTable::removeUnlisted(Time Now) {
  std::vector<Upstream> Upstreams;
  std::vector<UpstreamRecord> Records;
  std::vector<std::uint32_t> Order;
  for (std::uint32_t Index = 0; Index < this->Upstreams.size(); ++Index) {
    const Time UnlistedAt = this->Records[Index].UnlistedAt;
    const Time LastSeen = std::max(UnlistedAt, this->Upstreams[Index].ReportAt);
    const bool Forget =
        UnlistedAt != Never && Now >= LastSeen + this->Timeouts.ForgetAfter;
    if (!Forget)
      Order.push_back(Index);
  }
  const auto IdAt = [this](std::uint32_t Index) -> const UpstreamId & {
    return this->Upstreams[Index].Listing.Id;
  };
  if (Order.size() == this->Upstreams.size() &&
      std::ranges::is_sorted(Order, {}, IdAt))
    return;
  std::ranges::sort(Order, {}, IdAt);
  for (const std::uint32_t Index : Order) {
    Upstreams.push_back(std::move(this->Upstreams[Index]));
    Records.push_back(std::move(this->Records[Index]));
  }
  this->Upstreams = std::move(Upstreams);
  this->Records = std::move(Records);
}

void UpstreamTable::rebuildIndexes() {
  this->Positions.clear();
  this->ByModel.clear();
  this->ByService.clear();
  for (std::uint32_t Index = 0; Index < this->Upstreams.size(); ++Index) {
    const Upstream &Entry = this->Upstreams[Index];
    this->Positions.emplace(Entry.Listing.Id, Index);
    if (Entry.Listing.Kind == UpstreamKind::Application)
      this->ByService[Entry.Listing.Application].push_back(Index);
    for (const ModelId &Model : Entry.Report.Models)
      this->ByModel[Model].push_back(Index);
  }
}

} // namespace banyanpick
