/// \file
/// Selects the engines that are open to long prompts.
#pragma once

#include "kernel/Services.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace banyanpick {

/// The number of open engines follows the share of long prompts in the demand
/// in tokens, with hysteresis. The engines with the highest rendezvous weights
/// are open, so that hosts with different numbers agree on most of them.
class LongPromptPool {
public:
  /// Called when demand for this many uncached tokens arrives.
  void addDemand(bool IsLong, std::uint64_t Tokens, Time Now);

  /// Updates the open engines of the model, at most once per UpdateInterval
  /// unless the fleet size changes.
  void update(const ModelId &Model, const FleetView &Fleet, Time Now);

  /// Returns the positions of the open engines in FleetView::upstreams().
  std::span<const std::uint32_t> open(const ModelId &Model) const;
  bool isOpen(const UpstreamId &Engine) const {
    return this->OpenIds.contains(Engine);
  }

  /// Returns how many of \p Engines are open: at least one and, with more than
  /// one engine, never all.
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
  double OpenShare = 0; ///< Current share; follows demand with hysteresis.
  std::unordered_map<ModelId, ModelPool> Pools;
  std::unordered_set<UpstreamId> OpenIds;
};

} // namespace banyanpick
