/// \file
/// Chooses the engine that is predicted to give the first token earliest.
#pragma once

#include "base/Random.h"
#include "plugins/prefixcache/PrefixCacheView.h"
#include "plugins/routing/EngineCost.h"
#include "plugins/routing/LongWork.h"

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
  const Request &Wanted;
  const SelectionLimits &Limits;
  std::uint32_t Priority = 0;
  std::uint64_t MemoryTokens = 0; ///< Prompt and bound of the answer.
  bool IsLong = false;
  double PartLeft = 1; ///< Of an engine, by more urgent work.
};

class PredictedChoice {
public:
  PredictedChoice(const RoutingSettings &Values, const FleetView &Fleet,
                  const PrefixCacheView &Cache, const WorkBook &Book,
                  const LongWork &Long, const ZoneId &SelfZone, Random &Numbers)
      : Values(Values), Fleet(Fleet), Cache(Cache), Book(Book), Long(Long),
        SelfZone(SelfZone), Numbers(Numbers), Cost(Values, Book, SelfZone) {}

  /// A few candidates with their estimates, best first.
  std::vector<Candidate> candidates(const ChoiceDemand &Demand, Time Now);

  /// Whether the engine is so far behind that the request should wait here.
  bool isBehind(const Candidate &Best, const ChoiceDemand &Demand,
                Time Now) const;

  /// The engines that could hold the prompt's memory together now, best
  /// first, with the memory of each in \p TokensEach; empty when none could.
  std::vector<std::uint32_t> group(const ChoiceDemand &Demand,
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
  std::uint32_t quietest(std::span<const std::uint32_t> Usable) const;

  const RoutingSettings &Values;
  const FleetView &Fleet;
  const PrefixCacheView &Cache;
  const WorkBook &Book;
  const LongWork &Long;
  const ZoneId &SelfZone;
  Random &Numbers;
  EngineCost Cost;
};

} // namespace banyanpick
