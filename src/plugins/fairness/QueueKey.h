/// \file
/// The common properties of the requests in one queue.
#pragma once

#include "kernel/Request.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyanpick {

/// Requests of one queue compete for the same upstreams at the same urgency,
/// with prompts of similar length. The cause that makes one of them wait most
/// likely applies to all of them, so that no queue blocks another. Queues are
/// ordered by precedence: the queue with the least key comes first.
struct QueueKey {
  /// Highest urgency first. AgedUrgency is above all urgencies of the
  /// catalogue.
  std::uint32_t Urgency = 0;
  std::uint32_t LengthBucket = 0; ///< 0 holds the shortest prompts.
  bool IsIsolated = false;        ///< Suspects, isolated from other work.
  bool IsHeld = false;            ///< Held back; not to be dispatched yet.
  TargetKind Target = TargetKind::Model;
  std::string TargetName;

  std::strong_ordering operator<=>(const QueueKey &Other) const;
  bool operator==(const QueueKey &) const = default;
};

/// Urgency of work that has used a large part of its time to first token by
/// waiting.
inline constexpr std::uint32_t AgedUrgency = 10;

/// Returns the key of the queue for a new request.
QueueKey queueKey(const Request &Req, bool IsIsolated);

/// Returns the key of the queue that receives the aged requests of \p Key.
QueueKey agedQueueKey(QueueKey Key);

/// Returns a hash of the key. It is the same on every host and never 0.
std::uint32_t queueHash(const QueueKey &Key);

} // namespace banyanpick
