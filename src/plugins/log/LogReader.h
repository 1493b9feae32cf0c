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
  Duration PollGap{};      ///< Pause after a read that brought nothing.
  Duration BackoffFirst{}; ///< Pause after the first failed read.
  Duration BackoffMost{};  ///< Longest pause after failed reads.
  Duration StallAfter{};   ///< A read not answered by then is asked again.
};

/// What one answer of the log, or of a peer, brought.
struct ReadStep {
  /// Records before this offset were lost before they were read.
  std::optional<LogOffset> MissedUpTo;
  /// Records not read before, in log order.
  std::span<const StoredRecord> Fresh;
  /// The end of the log was reached.
  bool CaughtUp = false;
  /// When the read was asked.
  Time AskedAt{};
  /// The answer can't be of the log that was read before.
  bool WentBack = false;
};

/// The place in the log, and when to read on. The driver answers every
/// ReadLog exactly once and in order, so an answer belongs to the oldest
/// unanswered read.
class LogReader {
public:
  LogReader(LogReaderOptions Options, Random &Numbers)
      : Options(Options), Numbers(Numbers) {}

  /// Asks for the next read when it is due.
  void readWhenDue(Time Now, Actions &Out);

  /// Takes in an answer of the log.
  ReadStep take(const LogRead &Answer, Time Now);

  /// Takes in records passed on by a peer.
  ReadStep take(const RecordsRelayed &Relayed);

  /// Notes a failed read.
  void failed(Time Now);

  /// Moves the place forward.
  void skipTo(LogOffset Offset);

  Time nextWake() const;

  /// The next offset to be read; 0 while nothing was read.
  LogOffset nextOffset() const { return this->Next; }

  /// When the log answered last.
  Time answeredAt() const { return this->AnsweredAt; }

private:
  Time popAskedAt(Time Now);
  void backOff(Time Now);
  std::span<const StoredRecord> advance(std::span<const StoredRecord> Records,
                                        LogOffset Until);

  LogReaderOptions Options;
  Random &Numbers;
  LogOffset Next = 0;
  std::deque<Time> Asked; ///< Unanswered reads, oldest first.
  Time DueAt{};
  Time AnsweredAt{};
  std::uint32_t Failures = 0;
};

} // namespace banyanpick
