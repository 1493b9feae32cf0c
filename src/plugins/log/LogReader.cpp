/// \file
#include "plugins/log/LogReader.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// The first offset of a log.
constexpr LogOffset FirstOffset = 1;
/// The backoff stops doubling after this many consecutive failures.
constexpr std::uint32_t MaxDoublings = 10;

} // namespace

void LogReader::readWhenDue(Time Now, Actions &Out) {
  if (Now < this->nextWake())
    return;
  this->PendingReads.push_back(Now);
  Out.add(ReadLog{std::max(this->NextOffset, FirstOffset)});
}

Time LogReader::nextWake() const {
  if (this->PendingReads.empty())
    return this->DueAt;
  return this->PendingReads.back() + this->Options.StallTimeout;
}

ReadResult LogReader::handleAnswer(const LogRead &Answer, Time Now) {
  ReadResult Result;
  Result.RequestedAt = this->popRequestTime(Now);
  if (Answer.EndOffset < this->NextOffset) {
    Result.EndRegressed = true;
    this->backOff(Now);
    return Result;
  }
  this->AnsweredAt = Now;
  this->Failures = 0;
  const LogOffset Before = this->NextOffset;
  if (this->NextOffset < Answer.StartOffset) {
    if (Answer.StartOffset > FirstOffset)
      Result.MissedUpTo = Answer.StartOffset;
    this->NextOffset = Answer.StartOffset;
  }
  if (Answer.FromOffset <= this->NextOffset)
    Result.NewRecords = this->advance(Answer.Records, Answer.NextOffset);
  Result.CaughtUp = this->NextOffset >= Answer.EndOffset;
  this->DueAt =
      this->NextOffset == Before ? Now + this->Options.PollInterval : Now;
  return Result;
}

ReadResult LogReader::handleRelayed(const RecordsRelayed &Relayed) {
  ReadResult Result;
  if (this->NextOffset == 0 || Relayed.FirstOffset > this->NextOffset)
    return Result;
  Result.NewRecords = this->advance(Relayed.Records, Relayed.NextOffset);
  return Result;
}

void LogReader::noteFailure(Time Now) {
  this->popRequestTime(Now);
  this->backOff(Now);
}

void LogReader::skipTo(LogOffset Offset) {
  this->NextOffset = std::max(this->NextOffset, Offset);
}

Time LogReader::popRequestTime(Time Now) {
  if (this->PendingReads.empty())
    return Now;
  const Time RequestedAt = this->PendingReads.front();
  this->PendingReads.pop_front();
  return RequestedAt;
}

void LogReader::backOff(Time Now) {
  this->Failures = std::min(this->Failures + 1, MaxDoublings);
  const Duration FullDelay =
      std::min(this->Options.InitialBackoff * (1 << (this->Failures - 1)),
               this->Options.MaxBackoff);
  const double Jitter = 0.5 + this->Rng.fraction() / 2;
  this->DueAt = Now + fromSeconds(inSeconds(FullDelay) * Jitter);
}

std::span<const StoredRecord>
LogReader::advance(std::span<const StoredRecord> Records, LogOffset Until) {
  const auto IsNew = [this](const StoredRecord &Record) {
    return Record.Offset >= this->NextOffset;
  };
  const auto First = std::find_if(Records.begin(), Records.end(), IsNew);
  this->NextOffset = std::max(this->NextOffset, Until);
  return {First, Records.end()};
}

} // namespace banyanpick
