/// \file
/// Seeded random numbers for the decision code.
#pragma once

#include <cstdint>
#include <random>
#include <span>

namespace banyanpick {

/// A reproducible random number generator: equal seeds give equal numbers.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  /// Returns an integer in [0, \p Bound), or 0 if \p Bound is 0. Does not use
  /// the distributions of the standard library because they differ between
  /// implementations.
  std::uint64_t below(std::uint64_t Bound) {
    return Bound == 0 ? 0 : this->Engine() % Bound;
  }

  /// Returns a number in [0, 1).
  double fraction() {
    return static_cast<double>(this->Engine() >> 11) * 0x1.0p-53;
  }

private:
  std::mt19937_64 Engine;
};

} // namespace banyanpick
