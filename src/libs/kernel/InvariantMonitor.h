/// \file
/// Invariants asserted inside the running program.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanpick {

/// Collects broken invariants: the daemon logs and counts them, tests fail.
class InvariantMonitor {
public:
  /// Notes the invariant as broken unless \p Holds.
  void require(bool Holds, std::string_view Invariant) {
    if (!Holds)
      this->Broken.emplace_back(Invariant);
  }

  /// What was broken since the last call.
  std::vector<std::string> takeBroken() {
    this->Total += this->Broken.size();
    return std::exchange(this->Broken, {});
  }

  /// How many were taken so far.
  std::uint64_t total() const { return this->Total; }

private:
  std::vector<std::string> Broken;
  std::uint64_t Total = 0;
};

} // namespace banyanpick
