/// \file
/// Which engines are open to long prompts.
#pragma once

#include "kernel/Services.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace banyanpick {

/// How many engines take long prompts: their share of demand in tokens, with
/// hysteresis. The engines are those with the highest rendezvous weights, so
/// that hosts that differ in the number still agree on most of them.
class LongPromptPool {
public:
  /// Demand for this many uncached tokens arrived.
  void addDemand(bool IsLong, std::uint64_t Tokens, Time Now);

  /// Judges again which of the model's engines are open, at most every
  /// UpdateInterval.
  void update(const ModelId &Model, const FleetView &Fleet, Time Now);

  /// Positions in FleetView::upstreams() of the open engines.
  std::span<const std::uint32_t> open(const ModelId &Model) const;
  bool isOpen(const UpstreamId &Engine) const {
    return this->OpenIds.contains(Engine);
  }

  /// How many of \p Engines are open; at least one and, beyond one, never all.
  std::uint32_t countOpen(std::uint32_t Engines);

private:
  struct ModelPool {
    Time UpdatedAt{};
    std::size_t FleetSize = 0;
    std::vector<std::uint32_t> Open;
  };
  void decay(Time Now);

  static constexpr Duration UpdateInterval = milliseconds(500);

  double LongTokens = 0;
  double AllTokens = 0;
  Time DecayedAt{};
  double OpenShare = 0; ///< In force; follows the demand with hysteresis.
  std::unordered_map<ModelId, ModelPool> Pools;
  std::unordered_set<UpstreamId> OpenIds;
};

} // namespace banyanpick
