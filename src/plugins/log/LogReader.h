/// \file
/// Reads the log forward, one read at a time, and keeps the place.
#pragma once

#include "base/Random.h"
#include "kernel/Action.h"
#include "kernel/Event.h"

#include <deque>
#include <optional>
#include <span>

namespace banyanpick {

struct LogReaderOptions {
  Duration PollInterval{};   ///< Pause after a read that brought nothing.
  Duration InitialBackoff{}; ///< Pause after the first failed read.
  Duration MaxBackoff{};     ///< Longest pause after failed reads.
  Duration StallTimeout{};   ///< A read not answered by then is asked again.
};

/// What one answer of the log, or of a peer, brought.
struct ReadResult {
  /// Records before this offset were lost before they were read.
  std::optional<LogOffset> MissedUpTo;
  /// Records not read before, in log order.
  std::span<const StoredRecord> NewRecords;
  /// The end of the log was reached.
  bool CaughtUp = false;
  /// When the read was asked.
  Time RequestedAt{};
  /// The answer can't be of the log that was read before.
  bool EndRegressed = false;
};

/// The place in the log, and when to read on. The driver answers every
/// ReadLog exactly once and in order, so an answer belongs to the oldest
/// unanswered read.
class LogReader {
public:
  LogReader(LogReaderOptions Options, Random &Rng)
      : Options(Options), Rng(Rng) {}

  /// Asks for the next read when it is due.
  void readWhenDue(Time Now, Actions &Out);

  /// Takes in an answer of the log.
  ReadResult handleAnswer(const LogRead &Answer, Time Now);

  /// Takes in records passed on by a peer.
  ReadResult handleRelayed(const RecordsRelayed &Relayed);

  /// Notes a failed read.
  void noteFailure(Time Now);

  /// Moves the place forward.
  void skipTo(LogOffset Offset);

  Time nextWake() const;

  /// The next offset to be read; 0 while nothing was read.
  LogOffset nextOffset() const { return this->NextOffset; }

  /// When the log answered last.
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
