/// \file
/// How much work of each urgency is admitted here.
#pragma once

#include "base/Time.h"

#include <array>
#include <cstdint>

namespace banyanpick {

/// Prompt tokens a second by urgency, averaged with a half-life.
class DemandRates {
public:
  void addDemand(std::uint32_t Urgency, std::uint64_t Tokens, Time Now);

  /// Tokens a second of work more urgent than this.
  double rateAbove(std::uint32_t Urgency, Time Now) const;

private:
  static constexpr std::uint32_t Urgencies = 10;

  std::array<double, Urgencies> Decayed{};
  Time DecayedAt{};
};

} // namespace banyanpick
