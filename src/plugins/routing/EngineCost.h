/// \file
/// Predicts when a request would get its first token on an engine.
#pragma once

#include "plugins/routing/RoutingSettings.h"
#include "plugins/routing/SentWorkTracker.h"

namespace banyanpick {

/// What a request asks of an engine.
struct EngineDemand {
  std::uint32_t Priority = 0;
  std::uint64_t UncachedTokens = 0;
  std::uint64_t MemoryTokens = 0;
  std::uint64_t OutputTokens = 0;
  /// Part of the engine that more urgent work leaves, in (0, 1].
  double RemainingShare = 1;
};

/// What the request can expect there.
struct EngineEstimate {
  Duration Wait{};           ///< Until its prefill begins.
  Duration FirstToken{};     ///< From now, with delays between zones.
  Duration CompleteAnswer{}; ///< From now.
  bool HasMemory = false;    ///< Its memory is believed to be free now.
  Duration Score{};          ///< What is compared; less is better.
};

/// Joins the lagged report with the work sent since: first token = work ahead
/// at its priority / measured prefill speed + uncached tokens / speed.
class EngineCost {
public:
  EngineCost(const RoutingSettings &Values, const SentWorkTracker &Tracker,
             const ZoneId &SelfZone)
      : Values(Values), Tracker(Tracker), SelfZone(SelfZone) {}

  EngineEstimate estimate(const Upstream &Engine, const EngineDemand &Demand,
                          Time Now) const;

  /// Memory believed to be free now, in tokens.
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

/// Prefill speed of the engine, never 0.
double prefillSpeed(const Upstream &Engine);

} // namespace banyanpick
