#include "plugins/routing/EngineCost.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Speeds in tokens per second of an engine without measurements.
constexpr double DefaultPrefillSpeed = 20'000;
constexpr double DefaultDecodeSpeed = 30;

/// Returns the reported prefill tokens at or above the priority.
std::uint64_t reportedTokensAhead(const LoadReport &Report,
                                  std::uint32_t Priority) {
  if (Report.Backlog.empty())
    return Report.QueuedPrefillTokens;
  std::uint64_t Tokens = 0;
  for (const PriorityBacklog &Item : Report.Backlog)
    if (Item.Priority >= Priority)
      Tokens += Item.PrefillTokens;
  return Tokens;
}

} // namespace

double prefillSpeed(const Upstream &Engine) {
  const double Measured = Engine.Report.PrefillTokensPerSecond;
  return Measured > 0 ? Measured : DefaultPrefillSpeed;
}

EngineEstimate EngineCost::estimate(const Upstream &Engine,
                                    const EngineDemand &Demand,
                                    Time Now) const {
  const double Speed = prefillSpeed(Engine) * Demand.RemainingShare;
  const double Decode = Engine.Report.DecodeTokensPerSecond > 0
                            ? Engine.Report.DecodeTokensPerSecond
                            : DefaultDecodeSpeed;
  const Duration Prefill =
      fromSeconds(static_cast<double>(Demand.UncachedTokens) / Speed);
  EngineEstimate Result;
  Result.Wait =
      fromSeconds(this->tokensAhead(Engine, Demand.Priority, Now) / Speed) +
      this->memoryWait(Engine, Demand.MemoryTokens);
  Duration CausedDelay{};
  if (this->hasLowerPriorityWork(Engine, Demand.Priority)) {
    Result.Wait += this->Values.StepDelay;
    CausedDelay = fromSeconds(inSeconds(Prefill) * this->Values.DelayWeight);
  }
  Result.FirstToken = Result.Wait + Prefill;
  if (this->Values.Parts.Zones && Engine.Listing.Zone != this->SelfZone)
    Result.FirstToken += this->Values.CrossZoneDelay;
  Result.Score = Result.FirstToken + CausedDelay;
  Result.HasMemory = Demand.MemoryTokens <= this->freeMemory(Engine);
  Result.CompleteAnswer =
      Result.FirstToken +
      fromSeconds(static_cast<double>(Demand.OutputTokens) / Decode);
  return Result;
}

std::uint64_t EngineCost::freeMemory(const Upstream &Engine) const {
  const WorkSum Sent =
      this->Tracker.sentSince(Engine.Listing.Id, Engine.Report.MeasuredAt, 0);
  return Engine.Report.FreeMemoryTokens -
         std::min(Engine.Report.FreeMemoryTokens, Sent.MemoryTokens);
}

double EngineCost::tokensAhead(const Upstream &Engine, std::uint32_t Priority,
                               Time Now) const {
  const RoutingParts &Parts = this->Values.Parts;
  const LoadReport &Report = Engine.Report;
  double Tokens = static_cast<double>(reportedTokensAhead(Report, Priority));
  if (Parts.PeerWork)
    Tokens += static_cast<double>(Engine.PeerPrefillTokens);
  if (Parts.OwnWork)
    Tokens += static_cast<double>(
        this->Tracker.sentSince(Engine.Listing.Id, Report.MeasuredAt, Priority)
            .PrefillTokens);
  if (Parts.ReportAge)
    Tokens -= inSeconds(std::max(Now - Report.MeasuredAt, Duration(0))) *
              prefillSpeed(Engine);
  return std::max(Tokens, 0.0);
}

Duration EngineCost::memoryWait(const Upstream &Engine,
                                std::uint64_t Needed) const {
  const std::uint64_t Free = this->freeMemory(Engine);
  if (Needed <= Free || Engine.Report.MemoryTokens == 0)
    return Duration(0);
  const double Share = static_cast<double>(Needed - Free) /
                       static_cast<double>(Engine.Report.MemoryTokens);
  return fromSeconds(Share * inSeconds(this->Values.MemoryTurnover));
}

bool EngineCost::hasLowerPriorityWork(const Upstream &Engine,
                                      std::uint32_t Priority) const {
  const auto &Backlog = Engine.Report.Backlog;
  return std::any_of(
      Backlog.begin(), Backlog.end(), [Priority](const PriorityBacklog &Item) {
        return Item.Priority < Priority && Item.PrefillTokens > 0;
      });
}

} // namespace banyanpick
