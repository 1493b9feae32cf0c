/// \file
/// Seeded random numbers for the deciding code.
#pragma once

#include <cstdint>
#include <random>
#include <span>

namespace banyanpick {

/// A reproducible source of random numbers: the same seed, the same numbers.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  /// A whole number in [0, \p Bound); 0 when \p Bound is 0. The distributions
  /// of the standard library differ between implementations, so the draw is
  /// reduced here to be the same everywhere.
  std::uint64_t below(std::uint64_t Bound) {
    return Bound == 0 ? 0 : this->Engine() % Bound;
  }

  /// A number in [0, 1).
  double fraction() {
    return static_cast<double>(this->Engine() >> 11) * 0x1.0p-53;
  }

private:
  std::mt19937_64 Engine;
};

} // namespace banyanpick
