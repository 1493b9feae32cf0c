#include "plugins/engineload/WarmUp.h"

#include "base/Milliseconds.h"
#include "base/RendezvousHash.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace banyanpick {

namespace {

/// Interval at which the completeness of the view is checked.
constexpr milliseconds CheckInterval(50);

/// Shortest warm-up, and how long the set of deciding hosts must be unchanged
/// at its end. Hosts that know too few of the others would gather their
/// requests on the same engines.
constexpr milliseconds MinWarmUp(300);

/// Engines are asked once the set of deciding hosts has been unchanged for this
/// long, so that few are asked by more than one host.
constexpr milliseconds AskAfter(100);

/// Most report requests at once, so that the return of a host causes no burst.
constexpr std::size_t MaxAsksAtOnce = 8;

/// An active host handles an event, such as a peer's heartbeat, several times
/// in this time.
constexpr seconds PauseThreshold(1);

/// Share of the engines or of the peers that must be known.
constexpr double CompleteShare = 0.75;

/// Smaller sets of hosts change by half when a single host joins or leaves.
constexpr std::size_t MinComparedSharers = 4;

/// Age of the load in a report when a host receives it.
constexpr milliseconds ReportLag(200);

/// Unclaimed requests are assumed to have ended after this time.
constexpr seconds UnclaimedTtl(2);

/// How long reports of engines are passed on, and how long a peer counts as
/// warming up after it said so. Both are repeated, as messages may be lost.
constexpr seconds RepeatFor(1);

} // namespace

std::string_view nameOf(ViewLoss Reason) {
  switch (Reason) {
  case ViewLoss::Started:
    return "started";
  case ViewLoss::Paused:
    return "paused";
  case ViewLoss::HostsChanged:
    return "hosts changed";
  }
  return "";
}

std::string_view nameOf(ViewGain Reason) {
  switch (Reason) {
  case ViewGain::Engines:
    return "engines";
  case ViewGain::Peers:
    return "peers";
  case ViewGain::Time:
    return "time";
  }
  return "";
}

bool WarmUp::begin(ViewLoss Loss, Time Now) {
  if (this->Limits.Limit == Duration(0))
    return false;
  const bool IsNew = !this->Running;
  this->Running = true;
  this->Reason = Loss;
  this->BeganAt = Now;
  this->CheckAt = Now + CheckInterval;
  this->Known.clear();
  this->Answers.clear();
  this->Peers.clear();
  this->AskedAt.clear();
  return IsNew;
}

bool WarmUp::noteAlive(Time Now) {
  const Time Before = std::exchange(this->AliveAt, Now);
  return Before != Time{} && Now >= Before + PauseThreshold &&
         this->otherSharers() > 0;
}

bool WarmUp::takeSharers(std::span<const HostId> Hosts, Time Now) {
  if (std::ranges::equal(Hosts, this->Sharers))
    return false;
  this->Sharers.assign(Hosts.begin(), Hosts.end());
  this->SharersChangedAt = Now;
  if (this->Running || this->StableSharers.size() < MinComparedSharers)
    return false;
  std::vector<HostId> Kept;
  std::ranges::set_intersection(this->Sharers, this->StableSharers,
                                std::back_inserter(Kept));
  const std::size_t Most =
      std::max(this->Sharers.size(), this->StableSharers.size());
  return Kept.size() * 2 <= Most;
}

void WarmUp::takeEngines(std::span<const UpstreamId> Engines,
                         const HostId &Self) {
  this->EngineCount = Engines.size();
  this->OwnEngines.clear();
  for (const UpstreamId &Engine : Engines) {
    const auto Asker =
        std::ranges::max_element(this->Sharers, {}, [&](const HostId &Host) {
          return rendezvousWeight(Engine.Value, Host.Value);
        });
    if (Asker != this->Sharers.end() && *Asker == Self)
      this->OwnEngines.push_back(Engine);
  }
}

void WarmUp::noteAnswer(const UpstreamId &Engine) {
  if (!this->Running)
    return;
  this->Known.insert(Engine);
  ++this->Answers[Engine];
}

bool WarmUp::notePeer(const HostId &Host, bool IsWarmingUp, Time Now) {
  const Peer Before = std::exchange(this->Peers[Host], Peer{Now, IsWarmingUp});
  return IsWarmingUp && !Before.IsWarmingUp;
}

void WarmUp::forgetEngine(const UpstreamId &Engine) {
  this->Known.erase(Engine);
  this->Answers.erase(Engine);
  this->Reports.erase(Engine);
  this->OwnReports.erase(Engine);
  this->AskedAt.erase(Engine);
}

void WarmUp::takeReport(const EngineWork::Load &Load,
                        const UnclaimedLoad &Claimed, Time Now) {
  const Time At = Now - fromMilliseconds(Load.AgeMs);
  Report &Last = this->Reports[Load.Engine];
  if (At <= Last.At || At + UnclaimedTtl < Now)
    return;
  Last.At = At;
  this->UnclaimedUntil = std::max(this->UnclaimedUntil, At + UnclaimedTtl);
  if (At >= this->BeganAt)
    this->Known.insert(Load.Engine);
  // A process that has just started had nothing on the engine when the engine
  // measured its load.
  const bool IsAllOthers =
      this->Reason == ViewLoss::Started && At < this->BeganAt + ReportLag;
  const UnclaimedLoad Known = IsAllOthers ? UnclaimedLoad{} : Claimed;
  const double Requests = static_cast<double>(Load.Running) + Load.Waiting;
  Last.Unclaimed.Requests = std::max(Requests - Known.Requests, 0.0);
  Last.Unclaimed.MemoryTokens = std::max(
      static_cast<double>(Load.MemoryTokens) - Known.MemoryTokens, 0.0);
}

void WarmUp::noteOwnReport(const EngineWork::Load &Load, Time Now) {
  this->OwnReports[Load.Engine] = {Load, Now};
}

std::size_t WarmUp::otherSharers() const {
  return this->Sharers.empty() ? 0 : this->Sharers.size() - 1;
}

std::size_t WarmUp::heardSharers() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Sharers, [&](const HostId &Host) {
        return this->Peers.contains(Host);
      }));
}

bool WarmUp::isLossCommon() const {
  const auto Warming = std::ranges::count_if(
      this->Peers, [](const auto &Entry) { return Entry.second.IsWarmingUp; });
  return static_cast<std::size_t>(Warming) * 2 > this->Peers.size();
}

bool WarmUp::hasHeardMost() const {
  return static_cast<double>(this->heardSharers()) >=
         static_cast<double>(this->otherSharers()) * CompleteShare;
}

std::optional<ViewGain> WarmUp::update(Time Now) {
  if (!this->Running || Now < this->CheckAt)
    return std::nullopt;
  this->CheckAt = Now + CheckInterval;
  std::optional<ViewGain> Result;
  const bool IsSettled = Now >= this->BeganAt + MinWarmUp &&
                         Now >= this->SharersChangedAt + MinWarmUp;
  const bool KnowsEngines =
      static_cast<double>(this->Known.size()) >=
      static_cast<double>(this->EngineCount) * CompleteShare;
  if (IsSettled && this->EngineCount > 0 && this->hasHeardMost()) {
    if (KnowsEngines)
      Result = ViewGain::Engines;
    else if (this->otherSharers() > 0 && !this->isLossCommon())
      Result = ViewGain::Peers;
  }
  if (Now >= this->BeganAt + this->Limits.Limit)
    Result = ViewGain::Time;
  if (!Result)
    return std::nullopt;
  this->Running = false;
  this->CheckAt = Never;
  this->StableSharers = this->Sharers;
  return Result;
}

std::vector<UpstreamId> WarmUp::due(Time Now) {
  std::vector<UpstreamId> Result;
  const bool MayAsk = this->Running && this->Limits.AskInterval > Duration(0) &&
                      this->otherSharers() > 0 &&
                      Now >= this->SharersChangedAt + AskAfter &&
                      this->isLossCommon();
  if (!MayAsk)
    return Result;
  for (const UpstreamId &Engine : this->OwnEngines) {
    if (Result.size() >= MaxAsksAtOnce)
      break;
    const auto Last = this->AskedAt.find(Engine);
    if (Last != this->AskedAt.end() &&
        Now < Last->second + this->Limits.AskInterval)
      continue;
    this->AskedAt[Engine] = Now;
    Result.push_back(Engine);
  }
  return Result;
}

Time WarmUp::nextWake() const { return this->CheckAt; }

std::uint32_t WarmUp::window(const UpstreamId &Engine) const {
  if (!this->Running || this->Limits.SlowStart == 0)
    return std::numeric_limits<std::uint32_t>::max();
  const auto Found = this->Answers.find(Engine);
  return this->Limits.SlowStart +
         (Found == this->Answers.end() ? 0 : Found->second);
}

UnclaimedLoad WarmUp::unclaimed(const UpstreamId &Engine, Time Now) const {
  const auto Found = this->Reports.find(Engine);
  if (Found == this->Reports.end() || Now >= Found->second.At + UnclaimedTtl)
    return {};
  const double Left =
      1 - inSeconds(Now - Found->second.At) / inSeconds(UnclaimedTtl);
  return {Found->second.Unclaimed.Requests * Left,
          Found->second.Unclaimed.MemoryTokens * Left};
}

double WarmUp::assumedRequests(std::size_t OwnRequests, Time Now) const {
  if (!this->Running || this->EngineCount == 0)
    return 0;
  double Unclaimed = 0;
  std::size_t Reporting = 0;
  for (const auto &[Engine, Report] : this->Reports) {
    if (Report.At < this->BeganAt)
      continue;
    Unclaimed += this->unclaimed(Engine, Now).Requests;
    ++Reporting;
  }
  const std::size_t Heard = this->heardSharers();
  const std::size_t Others = this->otherSharers();
  const double Unheard =
      Others > Heard ? static_cast<double>(Others - Heard) : 0;
  return Unclaimed / static_cast<double>(std::max<std::size_t>(Reporting, 1)) +
         static_cast<double>(OwnRequests) * Unheard /
             static_cast<double>(this->EngineCount);
}

bool WarmUp::isKnown(const UpstreamId &Engine) const {
  return !this->Running || this->Known.contains(Engine);
}

std::vector<HostId> WarmUp::warmingPeers(Time Now) const {
  std::vector<HostId> Result;
  for (const auto &[Host, Last] : this->Peers)
    if (Last.IsWarmingUp && Now < Last.HeardAt + RepeatFor)
      Result.push_back(Host);
  return Result;
}

std::vector<EngineWork::Load> WarmUp::ownReports(Time Now) const {
  std::vector<EngineWork::Load> Result;
  for (const auto &[Engine, Own] : this->OwnReports) {
    if (Now >= Own.ReceivedAt + RepeatFor)
      continue;
    Result.push_back(Own.Load);
    Result.back().AgeMs = inMilliseconds(Now - Own.ReceivedAt);
  }
  return Result;
}

} // namespace banyanpick
