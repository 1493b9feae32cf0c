#include "plugins/routing/DemandRates.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

constexpr Duration HalfLife = seconds(10);

/// Returns the factor by which a sum decays in this time.
double decayFactor(Duration Elapsed) {
  return std::exp2(-std::min(inSeconds(Elapsed) / inSeconds(HalfLife), 60.0));
}

} // namespace

void DemandRates::addDemand(std::uint32_t Urgency, std::uint64_t Tokens,
                            Time Now) {
  const double Factor = decayFactor(Now - this->DecayedAt);
  for (double &Sum : this->Decayed)
    Sum *= Factor;
  this->DecayedAt = Now;
  this->Decayed[std::min(Urgency, Urgencies - 1)] +=
      static_cast<double>(Tokens);
}

double DemandRates::rateAbove(std::uint32_t Urgency, Time Now) const {
  double Sum = 0;
  for (std::uint32_t Level = Urgency + 1; Level < Urgencies; ++Level)
    Sum += this->Decayed[Level];
  // The decayed sum of a steady rate is the rate times the mean lifetime.
  const double MeanLife = inSeconds(HalfLife) / std::log(2.0);
  return Sum * decayFactor(Now - this->DecayedAt) / MeanLife;
}

} // namespace banyanpick
