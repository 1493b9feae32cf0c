/// \file
/// The rate of work that is admitted on this host, by urgency.
#pragma once

#include "base/Time.h"

#include <array>
#include <cstdint>

namespace banyanpick {

/// Prompt tokens per second by urgency, averaged with exponential decay.
class DemandRates {
public:
  void addDemand(std::uint32_t Urgency, std::uint64_t Tokens, Time Now);

  /// Returns the tokens per second of all work above this urgency.
  double rateAbove(std::uint32_t Urgency, Time Now) const;

private:
  static constexpr std::uint32_t Urgencies = 10;

  std::array<double, Urgencies> Decayed{};
  Time DecayedAt{};
};

} // namespace banyanpick
