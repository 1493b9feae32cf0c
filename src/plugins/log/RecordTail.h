/// \file
/// The last records read, kept to be passed on to peers.
#pragma once

#include "kernel/PeerMessage.h"

#include <deque>
#include <span>

namespace banyanpick {

/// A bounded, contiguous piece at the end of the log as it was read.
class RecordTail {
public:
  explicit RecordTail(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// Adds records that follow those kept, up to \p Next (exclusive).
  void add(std::span<const StoredRecord> Records, LogOffset Next);

  /// Forgets everything; the next records start at \p Next.
  void restart(LogOffset Next);

  /// The oldest offset that can be passed on; 0 before the first record.
  LogOffset first() const { return this->First; }

  /// Records from \p From on, at most \p MaxRelayBytes bytes (at least one
  /// append). \p From must not be before first().
  RecordsRelayed recordsFrom(LogOffset From, std::size_t MaxRelayBytes) const;

private:
  void dropOldest();

  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  LogOffset First = 0;
  LogOffset Next = 0;
  std::deque<StoredRecord> Retained;
};

} // namespace banyanpick
