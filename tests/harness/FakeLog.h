/// \file
/// The platform's append-only log: offsets, retention, outages, lost answers,
/// late effects.
#pragma once

#include "kernel/Event.h"

#include <deque>
#include <optional>
#include <span>

namespace banyanpick {

/// What becomes of one append.
enum class AppendFate {
  Taken,      ///< In the log, answered.
  AnswerLost, ///< In the log; the answer never comes.
  LateEffect, ///< No answer; it enters the log some time later.
  Refused,    ///< Surely not in the log.
  Swallowed,  ///< Not in the log; no answer.
};

/// The log with the faults that are set on it.
class FakeLog {
public:
  bool Down = false;
  std::uint32_t AnswersToLose = 0; ///< Of the next appends that take effect.
  std::uint32_t AppendsToDelay = 0;
  Duration Lateness = seconds(5); ///< Of delayed appends.
  Duration ServiceTime = milliseconds(1);
  Duration Retention = std::chrono::hours(24);
  std::uint32_t AppendsPerSecond = 500; ///< More are refused.

  /// Decides on an append that reached the log at \p Now.
  AppendFate decide(Time Now) {
    if (this->Down)
      return ++this->Outcomes % 2 ? AppendFate::Swallowed : AppendFate::Refused;
    if (Now >= this->SecondStart + seconds(1)) {
      this->SecondStart = Now;
      this->InThisSecond = 0;
    }
    if (++this->InThisSecond > this->AppendsPerSecond)
      return AppendFate::Refused;
    if (this->take(this->AppendsToDelay))
      return AppendFate::LateEffect;
    if (this->take(this->AnswersToLose))
      return AppendFate::AnswerLost;
    return AppendFate::Taken;
  }

  /// Stores the records under one offset.
  LogOffset append(std::span<const LogRecord> Records, Time Now) {
    const LogOffset Offset = this->end();
    this->Appends.push_back({Now, {}});
    std::uint32_t Position = 0;
    for (const LogRecord &Each : Records)
      this->Appends.back().Records.push_back({Offset, Position++, Each});
    return Offset;
  }

  /// Drops what is older than the retention.
  void expire(Time Now) {
    while (!this->Appends.empty() &&
           this->Appends.front().At + this->Retention < Now)
      this->dropFirst();
  }
  /// Drops everything before \p Start.
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
    for (; Next < this->end() && Answer.Records.size() < MostRecords; ++Next) {
      const auto &Stored = this->Appends[Next - this->Start].Records;
      Answer.Records.insert(Answer.Records.end(), Stored.begin(), Stored.end());
    }
    Answer.NextOffset = Next;
    return Answer;
  }

  LogOffset start() const { return this->Start; }
  LogOffset end() const { return this->Start + this->Appends.size(); }

private:
  static constexpr std::size_t MostRecords = 500;

  struct Append {
    Time At;
    std::vector<StoredRecord> Records;
  };

  static bool take(std::uint32_t &Left) {
    if (Left == 0)
      return false;
    --Left;
    return true;
  }
  void dropFirst() {
    this->Appends.pop_front();
    ++this->Start;
  }

  LogOffset Start = 1;
  std::deque<Append> Appends;
  std::uint32_t Outcomes = 0;
  std::uint32_t InThisSecond = 0;
  Time SecondStart{};
};

} // namespace banyanpick
