/// \file
/// Predicts the time to first token of a request on an engine.
#pragma once

#include "plugins/routing/RoutingSettings.h"
#include "plugins/routing/SentWorkTracker.h"

namespace banyanpick {

/// The demand of a request on an engine.
struct EngineDemand {
  std::uint32_t Priority = 0;
  std::uint64_t UncachedTokens = 0;
  std::uint64_t MemoryTokens = 0;
  std::uint64_t OutputTokens = 0;
  /// Fraction of the engine that more urgent work leaves, in (0, 1].
  double RemainingShare = 1;
};

/// The predicted service of a request on an engine.
struct EngineEstimate {
  Duration Wait{};           ///< Until its prefill begins.
  Duration FirstToken{};     ///< From now, with the delay between zones.
  Duration CompleteAnswer{}; ///< From now.
  bool HasMemory = false;    ///< The estimated free memory is sufficient.
  Duration Score{};          ///< Sort key of candidates; less is better.
};

/// Combines the delayed load report with the work sent since the report. Time
/// to first token = tokens ahead at the priority / measured prefill speed +
/// uncached tokens / speed.
class EngineCost {
public:
  EngineCost(const RoutingSettings &Values, const SentWorkTracker &Tracker,
             const ZoneId &SelfZone)
      : Values(Values), Tracker(Tracker), SelfZone(SelfZone) {}

  EngineEstimate estimate(const Upstream &Engine, const EngineDemand &Demand,
                          Time Now) const;

  /// Returns the estimated free memory, in tokens.
  std::uint64_t freeMemory(const Upstream &Engine) const;

private:
  double tokensAhead(const Upstream &Engine, std::uint32_t Priority,
                     Time Now) const;
  Duration memoryWait(const Upstream &Engine, std::uint64_t Needed) const;
  bool hasLowerPriorityWork(const Upstream &Engine,
                            std::uint32_t Priority) const;

  const RoutingSettings &Values;
  const SentWorkTracker &Tracker;
  const ZoneId &SelfZone;
};

/// Returns the prefill speed of the engine in tokens per second, never 0.
double prefillSpeed(const Upstream &Engine);

} // namespace banyanpick
