/// \file
/// Chooses the engine that is predicted to give the first token earliest.
#pragma once

#include "base/Random.h"
#include "plugins/prefixcache/PrefixCacheView.h"
#include "plugins/routing/EngineCost.h"
#include "plugins/routing/LongPromptPool.h"

#include <optional>
#include <vector>

namespace banyanpick {

/// One engine that was compared.
struct Candidate {
  std::uint32_t Position = 0; ///< In FleetView::upstreams().
  std::uint64_t UncachedTokens = 0;
  EngineEstimate Estimate;
};

/// What a choice is made for.
struct ChoiceDemand {
  const Request &Req;
  const SelectionLimits &Limits;
  std::uint32_t Priority = 0;
  std::uint64_t MemoryTokens = 0; ///< Prompt and bound of the answer.
  bool IsLong = false;
  double RemainingShare = 1; ///< Of an engine, by more urgent work.
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

  /// A few candidates with their estimates, best first.
  std::vector<Candidate> candidates(const ChoiceDemand &Demand, Time Now);

  /// Whether the engine is so far behind that the request should wait here.
  bool shouldWait(const Candidate &Best, const ChoiceDemand &Demand,
                  Time Now) const;

  /// The engines that could hold the prompt's memory together now, best
  /// first, with the memory of each in \p TokensEach; empty when none could.
  std::vector<std::uint32_t> chooseGroup(const ChoiceDemand &Demand,
                                         std::uint64_t &TokensEach) const;

  /// Whether the engine may get the request at all.
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
