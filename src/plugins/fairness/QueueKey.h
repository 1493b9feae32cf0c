/// \file
/// What the requests of one queue have in common.
#pragma once

#include "kernel/Request.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyanpick {

/// Requests of one lane compete for the same upstreams at the same urgency,
/// with prompts of like length; what keeps one of them waiting most likely
/// keeps the others waiting, so that no lane can block another. Lanes order
/// by precedence: the one to be tried first is the least.
struct QueueKey {
  /// Highest urgency first; AgedUrgency is above all of the catalogue's.
  std::uint32_t Urgency = 0;
  std::uint32_t LengthBucket = 0; ///< 0 holds the shortest prompts.
  bool IsIsolated = false;        ///< Suspects, kept apart from other work.
  bool IsHeld = false;            ///< Waits for its turn; not to be tried yet.
  TargetKind Target = TargetKind::Model;
  std::string TargetName;

  std::strong_ordering operator<=>(const QueueKey &Other) const;
  bool operator==(const QueueKey &) const = default;
};

/// Urgency of work that has waited for a good part of its promise.
inline constexpr std::uint32_t AgedUrgency = 10;

/// The lane of a request that has just come.
QueueKey queueKey(const Request &Req, bool IsIsolated);

/// The lane that its requests move to when they have waited for long.
QueueKey agedQueueKey(QueueKey Key);

/// A hash of the lane, the same on every host, never 0.
std::uint32_t queueHash(const QueueKey &Key);

} // namespace banyanpick
