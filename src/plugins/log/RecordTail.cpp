/// \file
#include "plugins/log/RecordTail.h"

#include "plugins/log/RecordSize.h"

#include <algorithm>

namespace banyanpick {

void RecordTail::add(std::span<const StoredRecord> Records, LogOffset Until) {
  for (const StoredRecord &Stored : Records) {
    this->Bytes += estimatedBytes(Stored.Record.Body);
    this->Retained.push_back(Stored);
  }
  this->Next = std::max(this->Next, Until);
  while (this->Bytes > this->MaxBytes && !this->Retained.empty())
    this->dropOldest();
}

void RecordTail::restart(LogOffset At) {
  this->Retained.clear();
  this->Bytes = 0;
  this->First = At;
  this->Next = At;
}

RecordsRelayed RecordTail::recordsFrom(LogOffset From,
                                       std::size_t MaxRelayBytes) const {
  RecordsRelayed Result{{}, From, std::max(From, this->Next)};
  std::size_t Relayed = 0;
  const auto Begin =
      std::lower_bound(this->Retained.begin(), this->Retained.end(), From,
                       [](const StoredRecord &Stored, LogOffset At) {
                         return Stored.Offset < At;
                       });
  for (auto Stored = Begin; Stored != this->Retained.end(); ++Stored) {
    const bool StartsAppend = Result.Records.empty() ||
                              Result.Records.back().Offset != Stored->Offset;
    if (StartsAppend && !Result.Records.empty() && Relayed > MaxRelayBytes) {
      Result.NextOffset = Stored->Offset;
      break;
    }
    Relayed += estimatedBytes(Stored->Record.Body);
    Result.Records.push_back(*Stored);
  }
  return Result;
}

void RecordTail::dropOldest() {
  const LogOffset Oldest = this->Retained.front().Offset;
  while (!this->Retained.empty() && this->Retained.front().Offset == Oldest) {
    this->Bytes -= estimatedBytes(this->Retained.front().Record.Body);
    this->Retained.pop_front();
  }
  this->First = Oldest + 1;
}

} // namespace banyanpick
