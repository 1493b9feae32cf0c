#include "plugins/limits/TeamLimit.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

constexpr double SecondsPerMinute = 60;
/// Splits kept, including the current one.
constexpr std::size_t MaxTrackers = 8;
/// The demand of a peer expires after this many intervals without a report.
constexpr int MaxDemandAgeIntervals = 60;
/// Demand below this fraction of the limit counts as zero.
constexpr double MinDemand = 1e-3;

} // namespace

TeamLimit::TeamLimit(const TeamEntry &NewLimits, ShareView Split,
                     const Identity &InitialSelf,
                     const LimitsPolicy &InitialPolicy, Time Now)
    : Limits(NewLimits), Self(InitialSelf.Host), SelfLife(InitialSelf.Life),
      Policy(InitialPolicy), FullShareFrom(Now), Requests(InitialPolicy.Burst),
      Tokens(InitialPolicy.Burst) {
  this->Trackers.emplace_front(std::move(Split), this->Self);
  this->applyShare(Now);
}

void TeamLimit::changeSplit(const TeamEntry &NewLimits, ShareView Split,
                            Time ChangedAt, Time Now) {
  if (Split.Id == this->view().Id)
    return;
  this->PreviousFraction = this->fraction(Now);
  this->FullShareFrom = ChangedAt + this->Policy.Epoch;
  this->Limits = NewLimits;
  const auto Found = std::find_if(this->Trackers.begin(), this->Trackers.end(),
                                  [&](const ShareTracker &Tracker) {
                                    return Tracker.view().Id == Split.Id;
                                  });
  if (Found == this->Trackers.end()) {
    this->Trackers.emplace_front(std::move(Split), this->Self);
  } else {
    ShareTracker Reused = std::move(*Found);
    this->Trackers.erase(Found);
    this->Trackers.push_front(std::move(Reused));
  }
  if (this->Trackers.size() > MaxTrackers)
    this->Trackers.pop_back();
  this->applyShare(Now);
}

std::optional<LimitReached> TeamLimit::check(double Cost, Time Now) {
  this->applyShare(Now);
  this->RequestDemand.add(1, Now);
  this->TokenDemand.add(Cost, Now);
  const auto Capped = [](Duration Wait) {
    constexpr Duration MaxWait = seconds(60);
    return std::min(Wait, MaxWait);
  };
  const std::uint64_t Units = this->units(Now);
  if (this->Limits.Concurrent > 0 && this->Running >= Units)
    this->RefusedConcurrent.add(1, Now);
  if (Units == 0)
    return LimitReached{"requests on this host", this->Policy.Interval * 2};
  if (this->Limits.Concurrent > 0 && this->Running >= Units)
    return LimitReached{"requests at once", this->Policy.Interval};
  if (this->Limits.RequestsPerMinute > 0) {
    const Duration Wait = this->Requests.waitFor(1, Now);
    if (Wait > Duration(0))
      return LimitReached{"requests a minute", Capped(Wait)};
  }
  if (this->Limits.TokensPerMinute > 0) {
    const Duration Wait = this->Tokens.waitFor(Cost, Now);
    if (Wait > Duration(0))
      return LimitReached{"tokens a minute", Capped(Wait)};
  }
  return std::nullopt;
}

void TeamLimit::admitted(double Cost, Time Now) {
  ++this->Running;
  this->Requests.take(1, Now);
  this->Tokens.take(Cost, Now);
}

void TeamLimit::ended(double UnusedTokens, bool HasRun, Time Now) {
  if (this->Running > 0)
    --this->Running;
  this->Tokens.take(-UnusedTokens, Now);
  if (!HasRun)
    this->Requests.take(-1, Now);
}

TeamUsage::Item TeamLimit::usage(Time Now) const {
  TeamUsage::Item Result;
  Result.DemandRequests = this->RequestDemand.rate(Now);
  Result.DemandTokens = this->TokenDemand.rate(Now);
  const double Refused = this->RefusedConcurrent.rate(Now);
  Result.Concurrent =
      this->Running +
      static_cast<std::uint32_t>(std::ceil(
          std::min(Refused, static_cast<double>(this->Limits.Concurrent))));
  return Result;
}

void TeamLimit::updatePeerDemand(const HostId &From,
                                 const TeamUsage::Item &Usage, Time Now) {
  this->Peers[From] = {this->demandFraction(Usage), Now};
}

double TeamLimit::peerDemand(const HostId &Peer, Time Now) const {
  const auto Found = this->Peers.find(Peer);
  if (Found == this->Peers.end())
    return 0;
  const Duration MaxAge = this->Policy.Interval * MaxDemandAgeIntervals;
  return Now - Found->second.ReceivedAt <= MaxAge ? Found->second.DemandFraction
                                                  : 0;
}

std::vector<HostId> TeamLimit::hostsWithoutBaseShare(Time Now) const {
  std::vector<HostId> Result;
  const ShareView &View = this->view();
  for (const auto &[Peer, Demand] : this->Peers) {
    const bool HasNoBaseShare = View.find(Peer) == View.Shares.size();
    if (HasNoBaseShare && this->peerDemand(Peer, Now) > 0)
      Result.push_back(Peer);
  }
  return Result;
}

void TeamLimit::reclaimShareOf(const HostId &Host) {
  for (ShareTracker &Tracker : this->Trackers) {
    if (Tracker.view().find(Host) == Tracker.view().Shares.size())
      Tracker.reclaimFrom(Host);
  }
}

std::vector<ShareTransfer> TeamLimit::transferByDemand(Time Now) {
  if (Now < this->FullShareFrom)
    return {};
  std::vector<HostDemand> Demands = {
      {this->Self, this->demandFraction(this->usage(Now))}};
  for (const BaseShare &Share : this->view().Shares) {
    if (Share.Host != this->Self)
      Demands.push_back({Share.Host, this->peerDemand(Share.Host, Now)});
  }
  // A host without a base share exchanges units only with the hosts of the
  // split.
  if (this->view().find(this->Self) < this->view().Shares.size()) {
    for (const HostId &Host : this->hostsWithoutBaseShare(Now))
      Demands.push_back({Host, this->peerDemand(Host, Now)});
  }
  // A running request holds its unit until it ends.
  const std::uint64_t Held = this->current().units();
  const std::uint64_t Busy = this->Limits.Concurrent > 0 ? this->Running : 0;
  const std::uint64_t Free = Held > Busy ? Held - Busy : 0;
  auto Result = this->current().transferByDemand(Demands, Free);
  this->applyShare(Now);
  return Result;
}

std::vector<ShareTransfer> TeamLimit::transfers() const {
  return this->current().transfers();
}

void TeamLimit::receiveShare(const HostId &From, const LimitShare &Share,
                             Time Now) {
  for (ShareTracker &Tracker : this->Trackers) {
    if (Tracker.view().keyFor(this->Self, this->SelfLife) != Share.View)
      continue;
    const double Units =
        Share.Fraction * static_cast<double>(Tracker.totalUnits());
    Tracker.receiveShare(From, static_cast<std::uint64_t>(std::llround(Units)));
  }
  this->applyShare(Now);
}

double TeamLimit::fraction(Time Now) const {
  const double Current = this->current().fraction();
  return Now < this->FullShareFrom ? std::min(Current, this->PreviousFraction)
                                   : Current;
}

bool TeamLimit::isIdle(Time Now) {
  // Discarding the state would restore the base share. Transferred units must
  // not return while their receiver may hold them.
  const bool HasTransferred = std::any_of(
      this->Trackers.begin(), this->Trackers.end(),
      [](const ShareTracker &Tracker) { return !Tracker.transfers().empty(); });
  const bool IsOwing =
      this->Requests.level(Now) < 0 || this->Tokens.level(Now) < 0;
  return this->Running == 0 && !HasTransferred && !IsOwing;
}

bool TeamLimit::isConsistent() const {
  return std::all_of(
      this->Trackers.begin(), this->Trackers.end(),
      [](const ShareTracker &Tracker) { return Tracker.isConsistent(); });
}

std::uint64_t TeamLimit::units(Time Now) const {
  // Rounding of the fraction may leave it just below a whole unit.
  constexpr double Rounding = 1e-6;
  const auto TotalUnits = static_cast<double>(this->current().totalUnits());
  return static_cast<std::uint64_t>(this->fraction(Now) * TotalUnits +
                                    Rounding);
}

void TeamLimit::applyShare(Time Now) {
  const double Part = this->fraction(Now) / SecondsPerMinute;
  this->Requests.setRate(Part * this->Limits.RequestsPerMinute, Now);
  this->Tokens.setRate(Part * static_cast<double>(this->Limits.TokensPerMinute),
                       Now);
}

double TeamLimit::demandFraction(const TeamUsage::Item &Usage) const {
  const auto PartOf = [](double Amount, double Limit) {
    return Limit > 0 ? Amount / Limit : 0;
  };
  const double DemandFraction =
      std::max({PartOf(Usage.DemandRequests * SecondsPerMinute,
                       this->Limits.RequestsPerMinute),
                PartOf(Usage.DemandTokens * SecondsPerMinute,
                       static_cast<double>(this->Limits.TokensPerMinute)),
                PartOf(Usage.Concurrent, this->Limits.Concurrent)});
  return DemandFraction < MinDemand ? 0 : DemandFraction;
}

} // namespace banyanpick
