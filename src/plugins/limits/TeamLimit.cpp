#include "plugins/limits/TeamLimit.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

constexpr double SecondsPerMinute = 60;
/// Views kept besides the present one.
constexpr std::size_t LedgersKept = 8;
/// A peer's demand counts as none when it was not heard of for so long.
constexpr int IntervalsRemembered = 60;
/// Demand below this part of the limit counts as none.
constexpr double LeastDemand = 1e-3;

} // namespace

TeamLimit::TeamLimit(const TeamEntry &LimitsGiven, ShareView Split,
                     const Identity &SelfGiven, const LimitsPolicy &PolicyGiven,
                     Time Now)
    : Limits(LimitsGiven), Self(SelfGiven.Host), SelfLife(SelfGiven.Life),
      Policy(PolicyGiven), HoldsFrom(Now), Requests(PolicyGiven.Burst),
      Tokens(PolicyGiven.Burst) {
  this->Ledgers.emplace_front(std::move(Split), this->Self);
  this->applyShare(Now);
}

void TeamLimit::changeSplit(const TeamEntry &LimitsGiven, ShareView Split,
                            Time ChangedAt, Time Now) {
  if (Split.Id == this->view().Id)
    return;
  this->FractionBefore = this->fraction(Now);
  this->HoldsFrom = ChangedAt + this->Policy.Epoch;
  this->Limits = LimitsGiven;
  const auto Known = std::find_if(
      this->Ledgers.begin(), this->Ledgers.end(),
      [&](const ShareLedger &Each) { return Each.view().Id == Split.Id; });
  if (Known == this->Ledgers.end()) {
    this->Ledgers.emplace_front(std::move(Split), this->Self);
  } else {
    ShareLedger Back = std::move(*Known);
    this->Ledgers.erase(Known);
    this->Ledgers.push_front(std::move(Back));
  }
  if (this->Ledgers.size() > LedgersKept)
    this->Ledgers.pop_back();
  this->applyShare(Now);
}

std::optional<LimitReached> TeamLimit::check(double Cost, Time Now) {
  this->applyShare(Now);
  this->AskedRequests.add(1, Now);
  this->AskedTokens.add(Cost, Now);
  const auto Longer = [](Duration Wait) {
    constexpr Duration Longest = seconds(60);
    return std::min(Wait, Longest);
  };
  const std::uint64_t Units = this->units(Now);
  if (this->Limits.Concurrent > 0 && this->Running >= Units)
    this->RefusedAtOnce.add(1, Now);
  if (Units == 0)
    return LimitReached{"requests on this host", this->Policy.Interval * 2};
  if (this->Limits.Concurrent > 0 && this->Running >= Units)
    return LimitReached{"requests at once", this->Policy.Interval};
  if (this->Limits.RequestsPerMinute > 0) {
    const Duration Wait = this->Requests.waitFor(1, Now);
    if (Wait > Duration(0))
      return LimitReached{"requests a minute", Longer(Wait)};
  }
  if (this->Limits.TokensPerMinute > 0) {
    const Duration Wait = this->Tokens.waitFor(Cost, Now);
    if (Wait > Duration(0))
      return LimitReached{"tokens a minute", Longer(Wait)};
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
  Result.DemandRequests = this->AskedRequests.rate(Now);
  Result.DemandTokens = this->AskedTokens.rate(Now);
  const double Refused = this->RefusedAtOnce.rate(Now);
  Result.Concurrent =
      this->Running +
      static_cast<std::uint32_t>(std::ceil(
          std::min(Refused, static_cast<double>(this->Limits.Concurrent))));
  return Result;
}

void TeamLimit::heard(const HostId &From, const TeamUsage::Item &Usage,
                      Time Now) {
  this->Peers[From] = {this->usedBy(Usage), Now};
}

double TeamLimit::peerDemand(const HostId &Peer, Time Now) const {
  const auto Found = this->Peers.find(Peer);
  if (Found == this->Peers.end())
    return 0;
  const Duration Remembered = this->Policy.Interval * IntervalsRemembered;
  return Now - Found->second.HeardAt <= Remembered ? Found->second.Used : 0;
}

std::vector<HostId> TeamLimit::guests(Time Now) const {
  std::vector<HostId> Result;
  const ShareView &View = this->view();
  for (const auto &[Peer, Demand] : this->Peers) {
    const bool IsGuest = View.find(Peer) == View.Shares.size();
    if (IsGuest && this->peerDemand(Peer, Now) > 0)
      Result.push_back(Peer);
  }
  return Result;
}

void TeamLimit::guestIsOver(const HostId &Guest) {
  for (ShareLedger &Each : this->Ledgers) {
    if (Each.view().find(Guest) == Each.view().Shares.size())
      Each.takeBackFrom(Guest);
  }
}

std::vector<ShareGift> TeamLimit::give(Time Now) {
  if (Now < this->HoldsFrom)
    return {};
  std::vector<HostDemand> Demands = {
      {this->Self, this->usedBy(this->usage(Now))}};
  for (const BaseShare &Each : this->view().Shares) {
    if (Each.Host != this->Self)
      Demands.push_back({Each.Host, this->peerDemand(Each.Host, Now)});
  }
  // A guest deals with the view's hosts only.
  if (this->view().find(this->Self) < this->view().Shares.size()) {
    for (const HostId &Guest : this->guests(Now))
      Demands.push_back({Guest, this->peerDemand(Guest, Now)});
  }
  // What runs here holds its units until it ends.
  const std::uint64_t Held = this->present().units();
  const std::uint64_t Busy = this->Limits.Concurrent > 0 ? this->Running : 0;
  const std::uint64_t Free = Held > Busy ? Held - Busy : 0;
  auto Result = this->present().giveByDemand(Demands, Free);
  this->applyShare(Now);
  return Result;
}

std::vector<ShareGift> TeamLimit::gifts() const {
  return this->present().gifts();
}

void TeamLimit::receive(const HostId &From, const LimitShare &Share, Time Now) {
  for (ShareLedger &Each : this->Ledgers) {
    if (Each.view().keyFor(this->Self, this->SelfLife) != Share.View)
      continue;
    const double Units =
        Share.Fraction * static_cast<double>(Each.unitsInAll());
    Each.receive(From, static_cast<std::uint64_t>(std::llround(Units)));
  }
  this->applyShare(Now);
}

double TeamLimit::fraction(Time Now) const {
  const double Present = this->present().fraction();
  return Now < this->HoldsFrom ? std::min(Present, this->FractionBefore)
                               : Present;
}

bool TeamLimit::isIdle(Time Now) {
  // What was given must not come back while its receiver may hold it.
  const bool HasGiven = std::any_of(
      this->Ledgers.begin(), this->Ledgers.end(),
      [](const ShareLedger &Each) { return !Each.gifts().empty(); });
  const bool IsOwing =
      this->Requests.level(Now) < 0 || this->Tokens.level(Now) < 0;
  return this->Running == 0 && !HasGiven && !IsOwing;
}

bool TeamLimit::isConsistent() const {
  return std::all_of(
      this->Ledgers.begin(), this->Ledgers.end(),
      [](const ShareLedger &Each) { return Each.isConsistent(); });
}

std::uint64_t TeamLimit::units(Time Now) const {
  // A little more, as the fraction may lie just under a whole unit.
  constexpr double Rounding = 1e-6;
  const auto InAll = static_cast<double>(this->present().unitsInAll());
  return static_cast<std::uint64_t>(this->fraction(Now) * InAll + Rounding);
}

void TeamLimit::applyShare(Time Now) {
  const double Part = this->fraction(Now) / SecondsPerMinute;
  this->Requests.setRate(Part * this->Limits.RequestsPerMinute, Now);
  this->Tokens.setRate(Part * static_cast<double>(this->Limits.TokensPerMinute),
                       Now);
}

double TeamLimit::usedBy(const TeamUsage::Item &Usage) const {
  const auto PartOf = [](double Amount, double Limit) {
    return Limit > 0 ? Amount / Limit : 0;
  };
  const double Used =
      std::max({PartOf(Usage.DemandRequests * SecondsPerMinute,
                       this->Limits.RequestsPerMinute),
                PartOf(Usage.DemandTokens * SecondsPerMinute,
                       static_cast<double>(this->Limits.TokensPerMinute)),
                PartOf(Usage.Concurrent, this->Limits.Concurrent)});
  return Used < LeastDemand ? 0 : Used;
}

} // namespace banyanpick
