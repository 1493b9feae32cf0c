/// \file
/// A fake of the platform's append-only log with offsets, retention, outages,
/// lost answers and delayed appends.
#pragma once

#include "kernel/Event.h"

#include <deque>
#include <optional>
#include <span>

namespace banyanpick {

/// The outcome of one append.
enum class AppendOutcome {
  Appended,   ///< Stored and answered.
  AnswerLost, ///< Stored; the answer is lost.
  Delayed,    ///< Not answered; stored after AppendDelay.
  Refused,    ///< Answered as not stored.
  Dropped,    ///< Neither stored nor answered.
};

/// An in-memory log with fault injection.
class FakeLog {
public:
  bool Down = false;
  std::uint32_t AnswersToLose = 0; ///< Of the next stored appends.
  std::uint32_t AppendsToDelay = 0;
  Duration AppendDelay = seconds(5); ///< For delayed appends.
  Duration ServiceTime = milliseconds(1);
  Duration Retention = std::chrono::hours(24);
  std::uint32_t MaxAppendsPerSecond = 500; ///< Further appends are refused.

  /// Decides the outcome of an append that reaches the log at \p Now.
  AppendOutcome decideOutcome(Time Now) {
    if (this->Down)
      return ++this->AppendsWhileDown % 2 ? AppendOutcome::Dropped
                                          : AppendOutcome::Refused;
    if (Now >= this->SecondStart + seconds(1)) {
      this->SecondStart = Now;
      this->InThisSecond = 0;
    }
    if (++this->InThisSecond > this->MaxAppendsPerSecond)
      return AppendOutcome::Refused;
    if (this->consume(this->AppendsToDelay))
      return AppendOutcome::Delayed;
    if (this->consume(this->AnswersToLose))
      return AppendOutcome::AnswerLost;
    return AppendOutcome::Appended;
  }

  /// Stores the records under one offset and returns the offset.
  LogOffset append(std::span<const LogRecord> Records, Time Now) {
    const LogOffset Offset = this->end();
    this->Appends.push_back({Now, {}});
    std::uint32_t Position = 0;
    for (const LogRecord &Record : Records)
      this->Appends.back().Records.push_back({Offset, Position++, Record});
    return Offset;
  }

  /// Drops appends older than the retention.
  void expire(Time Now) {
    while (!this->Appends.empty() &&
           this->Appends.front().At + this->Retention < Now)
      this->dropFirst();
  }
  /// Drops all appends before the offset \p Start.
  void dropBefore(LogOffset Start) {
    while (!this->Appends.empty() && this->Start < Start)
      this->dropFirst();
  }

  LogRead read(LogOffset From) const {
    LogRead Answer;
    Answer.FromOffset = From;
    Answer.StartOffset = this->Start;
    Answer.EndOffset = this->end();
    LogOffset Next = std::max(From, this->Start);
    for (; Next < this->end() && Answer.Records.size() < MaxRecordsPerRead;
         ++Next) {
      const auto &Stored = this->Appends[Next - this->Start].Records;
      Answer.Records.insert(Answer.Records.end(), Stored.begin(), Stored.end());
    }
    Answer.NextOffset = Next;
    return Answer;
  }

  LogOffset start() const { return this->Start; }
  LogOffset end() const { return this->Start + this->Appends.size(); }

private:
  static constexpr std::size_t MaxRecordsPerRead = 500;

  struct Append {
    Time At;
    std::vector<StoredRecord> Records;
  };

  static bool consume(std::uint32_t &Remaining) {
    if (Remaining == 0)
      return false;
    --Remaining;
    return true;
  }
  void dropFirst() {
    this->Appends.pop_front();
    ++this->Start;
  }

  LogOffset Start = 1;
  std::deque<Append> Appends;
  std::uint32_t AppendsWhileDown = 0;
  std::uint32_t InThisSecond = 0;
  Time SecondStart{};
};

} // namespace banyanpick
