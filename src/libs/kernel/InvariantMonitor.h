/// \file
/// Collects violations of invariants that are checked at run time.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanpick {

/// Collects broken invariants. The daemon logs and counts them; tests fail on
/// them.
class InvariantMonitor {
public:
  /// Records the invariant as broken unless \p Holds is true.
  void require(bool Holds, std::string_view Invariant) {
    if (!Holds)
      this->Broken.emplace_back(Invariant);
  }

  /// Returns the invariants that were broken since the last call.
  std::vector<std::string> takeBroken() {
    this->Total += this->Broken.size();
    return std::exchange(this->Broken, {});
  }

  /// Returns the number of violations that takeBroken() has returned.
  std::uint64_t total() const { return this->Total; }

private:
  std::vector<std::string> Broken;
  std::uint64_t Total = 0;
};

} // namespace banyanpick
