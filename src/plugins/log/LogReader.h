/// \file
/// Reads the log forward, one read at a time, and tracks the position.
#pragma once

#include "base/Random.h"
#include "kernel/Action.h"
#include "kernel/Event.h"

#include <deque>
#include <optional>
#include <span>

namespace banyanpick {

struct LogReaderOptions {
  Duration PollInterval{};   ///< Pause after a read that returned nothing.
  Duration InitialBackoff{}; ///< Pause after the first failed read.
  Duration MaxBackoff{};     ///< Longest pause after failed reads.
  Duration StallTimeout{};   ///< After this an unanswered read is repeated.
};

/// The result of one answer of the log or of a peer.
struct ReadResult {
  /// The log dropped records before this offset before they were read.
  std::optional<LogOffset> MissedUpTo;
  /// Records not read before, in log order.
  std::span<const StoredRecord> NewRecords;
  /// The end of the log was reached.
  bool CaughtUp = false;
  /// When the read was sent.
  Time RequestedAt{};
  /// The log ends before the position, so it is not the log read before.
  bool EndRegressed = false;
};

/// Tracks the position in the log and schedules the next read. The driver
/// answers every ReadLog exactly once and in order, so an answer belongs to the
/// oldest unanswered read.
class LogReader {
public:
  LogReader(LogReaderOptions Options, Random &Rng)
      : Options(Options), Rng(Rng) {}

  /// Requests the next read when it is due.
  void readWhenDue(Time Now, Actions &Out);

  /// Handles an answer of the log.
  ReadResult handleAnswer(const LogRead &Answer, Time Now);

  /// Handles records relayed by a peer.
  ReadResult handleRelayed(const RecordsRelayed &Relayed);

  /// Called after a failed read; starts the backoff.
  void noteFailure(Time Now);

  /// Moves the position forward to \p Offset, never back.
  void skipTo(LogOffset Offset);

  Time nextWake() const;

  /// The next offset to read; 0 before the first read.
  LogOffset nextOffset() const { return this->NextOffset; }

  /// When the log last answered.
  Time answeredAt() const { return this->AnsweredAt; }

private:
  Time popRequestTime(Time Now);
  void backOff(Time Now);
  std::span<const StoredRecord> advance(std::span<const StoredRecord> Records,
                                        LogOffset Until);

  LogReaderOptions Options;
  Random &Rng;
  LogOffset NextOffset = 0;
  std::deque<Time> PendingReads; ///< Unanswered reads, oldest first.
  Time DueAt{};
  Time AnsweredAt{};
  std::uint32_t Failures = 0;
};

} // namespace banyanpick
