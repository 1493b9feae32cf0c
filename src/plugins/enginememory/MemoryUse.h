/// \file
/// Evidence that a request uses the memory that is reserved for it.
#pragma once

#include "base/Time.h"

#include <optional>

namespace banyanpick {

/// How long memory stays reserved without evidence that it is in use.
struct MemoryUseLimits {
  Duration BeforeUse{}; ///< From the reservation to the first evidence.
  /// From the first report of unused memory, after it was in use.
  Duration AfterUse{};
};

/// Decides whether reserved memory is idle, from the reports of an engine that
/// holds a part of it and from the begin of the answer. A request that waits at
/// an engine, did not arrive there or whose answer was lost would otherwise
/// keep memory until its deadline.
///
/// A lost report is no evidence: memory that was in use counts as idle only
/// after a report says so.
class MemoryUse {
public:
  MemoryUse() = default;
  explicit MemoryUse(Time ReservedAt) : ReservedAt(ReservedAt) {}

  /// An engine reported the state of the memory, or the answer began.
  void note(bool IsInUse, Time Now);
  bool wasUsed() const { return this->WasUsed; }
  bool isIdle(const MemoryUseLimits &Limits, Time Now) const {
    return Now >= this->idleAt(Limits);
  }
  /// Returns when the memory becomes idle without further evidence.
  Time idleAt(const MemoryUseLimits &Limits) const;

private:
  Time ReservedAt{};
  bool WasUsed = false;
  std::optional<Time> UnusedSince; ///< Set only after it was in use.
};

} // namespace banyanpick
