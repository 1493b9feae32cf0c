#include "plugins/routing/DemandRates.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

constexpr Duration HalfLife = seconds(10);

/// What is left of a sum after the time.
double decayFactor(Duration Elapsed) {
  return std::exp2(-std::min(inSeconds(Elapsed) / inSeconds(HalfLife), 60.0));
}

} // namespace

void DemandRates::addDemand(std::uint32_t Urgency, std::uint64_t Tokens,
                            Time Now) {
  const double Factor = decayFactor(Now - this->DecayedAt);
  for (double &Each : this->Decayed)
    Each *= Factor;
  this->DecayedAt = Now;
  this->Decayed[std::min(Urgency, Urgencies - 1)] +=
      static_cast<double>(Tokens);
}

double DemandRates::rateAbove(std::uint32_t Urgency, Time Now) const {
  double Sum = 0;
  for (std::uint32_t Each = Urgency + 1; Each < Urgencies; ++Each)
    Sum += this->Decayed[Each];
  // A steady rate adds up to itself times the mean life.
  const double MeanLife = inSeconds(HalfLife) / std::log(2.0);
  return Sum * decayFactor(Now - this->DecayedAt) / MeanLife;
}

} // namespace banyanpick
