/// \file
#include "plugins/log/LogReader.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Offsets of the log start here.
constexpr LogOffset FirstOffset = 1;
/// Doubling stops at this many failures in a row.
constexpr std::uint32_t MostDoublings = 10;

} // namespace

void LogReader::readWhenDue(Time Now, Actions &Out) {
  if (Now < this->nextWake())
    return;
  this->Asked.push_back(Now);
  Out.add(ReadLog{std::max(this->Next, FirstOffset)});
}

Time LogReader::nextWake() const {
  if (this->Asked.empty())
    return this->DueAt;
  return this->Asked.back() + this->Options.StallAfter;
}

ReadStep LogReader::take(const LogRead &Answer, Time Now) {
  ReadStep Step;
  Step.AskedAt = this->popAskedAt(Now);
  if (Answer.EndOffset < this->Next) {
    Step.WentBack = true;
    this->backOff(Now);
    return Step;
  }
  this->AnsweredAt = Now;
  this->Failures = 0;
  const LogOffset Before = this->Next;
  if (this->Next < Answer.StartOffset) {
    if (Answer.StartOffset > FirstOffset)
      Step.MissedUpTo = Answer.StartOffset;
    this->Next = Answer.StartOffset;
  }
  if (Answer.FromOffset <= this->Next)
    Step.Fresh = this->advance(Answer.Records, Answer.NextOffset);
  Step.CaughtUp = this->Next >= Answer.EndOffset;
  this->DueAt = this->Next == Before ? Now + this->Options.PollGap : Now;
  return Step;
}

ReadStep LogReader::take(const RecordsRelayed &Relayed) {
  ReadStep Step;
  if (this->Next == 0 || Relayed.FirstOffset > this->Next)
    return Step;
  Step.Fresh = this->advance(Relayed.Records, Relayed.NextOffset);
  return Step;
}

void LogReader::failed(Time Now) {
  this->popAskedAt(Now);
  this->backOff(Now);
}

void LogReader::skipTo(LogOffset Offset) {
  this->Next = std::max(this->Next, Offset);
}

Time LogReader::popAskedAt(Time Now) {
  if (this->Asked.empty())
    return Now;
  const Time AskedAt = this->Asked.front();
  this->Asked.pop_front();
  return AskedAt;
}

void LogReader::backOff(Time Now) {
  this->Failures = std::min(this->Failures + 1, MostDoublings);
  const Duration Whole =
      std::min(this->Options.BackoffFirst * (1 << (this->Failures - 1)),
               this->Options.BackoffMost);
  const double Jitter = 0.5 + this->Numbers.fraction() / 2;
  this->DueAt = Now + fromSeconds(inSeconds(Whole) * Jitter);
}

std::span<const StoredRecord>
LogReader::advance(std::span<const StoredRecord> Records, LogOffset Until) {
  const auto IsNew = [this](const StoredRecord &Each) {
    return Each.Offset >= this->Next;
  };
  const auto First = std::find_if(Records.begin(), Records.end(), IsNew);
  this->Next = std::max(this->Next, Until);
  return {First, Records.end()};
}

} // namespace banyanpick
