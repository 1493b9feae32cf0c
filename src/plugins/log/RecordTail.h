/// \file
/// The last records read, retained so that they can be relayed to peers.
#pragma once

#include "kernel/PeerMessage.h"

#include <deque>
#include <span>

namespace banyanpick {

/// A bounded, contiguous range of records that ends at the read position.
class RecordTail {
public:
  explicit RecordTail(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// Adds the records that follow the retained ones, up to \p Next (exclusive).
  void add(std::span<const StoredRecord> Records, LogOffset Next);

  /// Drops all records. The next records start at \p Next.
  void restart(LogOffset Next);

  /// The oldest offset that can be relayed; 0 before the first record.
  LogOffset first() const { return this->First; }

  /// Returns records starting at \p From, at most \p MaxRelayBytes bytes (but
  /// at least one append). \p From must not be before first().
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
