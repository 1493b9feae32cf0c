/// \file
/// Chooses the engine with the least predicted time to first token.
#pragma once

#include "base/Random.h"
#include "plugins/prefixcache/PrefixCacheView.h"
#include "plugins/routing/EngineCost.h"
#include "plugins/routing/LongPromptPool.h"

#include <optional>
#include <vector>

namespace banyanpick {

/// An engine that is compared with others.
struct Candidate {
  std::uint32_t Position = 0; ///< In FleetView::upstreams().
  std::uint64_t UncachedTokens = 0;
  EngineEstimate Estimate;
};

/// The request that an engine is chosen for, with its demand.
struct ChoiceDemand {
  const Request &Req;
  const SelectionLimits &Limits;
  std::uint32_t Priority = 0;
  std::uint64_t MemoryTokens = 0; ///< Prompt plus maximum output.
  bool IsLong = false;
  double RemainingShare = 1; ///< Of an engine, left by more urgent work.
};

class PredictedChoice {
public:
  PredictedChoice(const RoutingSettings &Values, const FleetView &Fleet,
                  const PrefixCacheView &Cache, const SentWorkTracker &Tracker,
                  const LongPromptPool &LongPrompts, const ZoneId &SelfZone,
                  Random &Rng)
      : Values(Values), Fleet(Fleet), Cache(Cache), Tracker(Tracker),
        LongPrompts(LongPrompts), SelfZone(SelfZone), Rng(Rng),
        Cost(Values, Tracker, SelfZone) {}

  /// Returns a few candidates with their estimates, best first.
  std::vector<Candidate> candidates(const ChoiceDemand &Demand, Time Now);

  /// Returns whether the request should wait on this host: the best engine is
  /// too busy or lacks memory, or a first attempt would miss its deadline.
  bool shouldWait(const Candidate &Best, const ChoiceDemand &Demand,
                  Time Now) const;

  /// Returns engines that can hold the memory of the prompt together now, best
  /// first, and writes the tokens per engine to \p TokensEach. Returns an empty
  /// list if there is no such group.
  std::vector<std::uint32_t> chooseGroup(const ChoiceDemand &Demand,
                                         std::uint64_t &TokensEach) const;

  /// Returns whether the engine may receive the request.
  bool isUsable(std::uint32_t Position, const ChoiceDemand &Demand) const;

  Candidate estimate(std::uint32_t Position, const ChoiceDemand &Demand,
                     Time Now) const;

private:
  std::vector<std::uint32_t> sample(const ChoiceDemand &Demand);
  std::vector<std::uint32_t> draw(std::span<const std::uint32_t> Engines,
                                  const ChoiceDemand &Demand);
  std::vector<std::uint32_t> allUsable(std::span<const std::uint32_t> Engines,
                                       const ChoiceDemand &Demand) const;
  std::uint32_t findLeastBusy(std::span<const std::uint32_t> Usable) const;

  const RoutingSettings &Values;
  const FleetView &Fleet;
  const PrefixCacheView &Cache;
  const SentWorkTracker &Tracker;
  const LongPromptPool &LongPrompts;
  const ZoneId &SelfZone;
  Random &Rng;
  EngineCost Cost;
};

} // namespace banyanpick
