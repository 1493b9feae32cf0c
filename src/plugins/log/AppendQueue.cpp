/// \file
#include "plugins/log/AppendQueue.h"

#include "plugins/log/RecordSize.h"

#include <algorithm>
#include <iterator>

namespace banyanpick {

namespace {

/// Whether a second copy of the record in the log changes nothing.
bool mayRepeat(const LogRecord &Record) {
  return !std::holds_alternative<StewardLease>(Record.Body);
}

} // namespace

RecordId AppendQueue::add(LogRecordBody Body) {
  const RecordId Id{this->Self, ++this->LastRecord};
  this->Open.insert(Id);
  if (this->Waiting.size() >= this->Options.MostWaiting) {
    this->settle(Id, false);
    return Id;
  }
  this->Waiting.push_back({LogRecord{Id, std::move(Body)}, false});
  return Id;
}

bool AppendQueue::withdraw(const RecordId &Id) {
  if (this->Open.erase(Id) == 0)
    return false;
  const auto Queued =
      std::find_if(this->Waiting.begin(), this->Waiting.end(),
                   [&](const Item &Each) { return Each.Record.Id == Id; });
  if (Queued != this->Waiting.end()) {
    const bool NeverSent = !Queued->MaybeTaken;
    this->Waiting.erase(Queued);
    return NeverSent;
  }
  std::erase_if(this->Unknowns, [&](const Doubtful &Each) {
    return Each.What.Record.Id == Id;
  });
  return false;
}

void AppendQueue::sendWhenDue(Duration Gap, Time Now, Actions &Out) {
  if (this->InFlight &&
      Now >= this->InFlight->SentAt + this->Options.StallAfter) {
    this->unknown(std::move(this->InFlight->Items), Now);
    this->InFlight.reset();
  }
  if (this->InFlight || this->Waiting.empty() || Now < this->nextWake(Gap))
    return;
  this->send(Now, Out);
}

void AppendQueue::addForeign(LogRecord Record) {
  const auto Same = [&](const Item &Each) {
    return Each.Record.Id == Record.Id;
  };
  const bool Known =
      std::any_of(this->Waiting.begin(), this->Waiting.end(), Same);
  if (Known || this->Waiting.size() >= this->Options.MostWaiting)
    return;
  this->Waiting.push_back({std::move(Record), false});
}

std::vector<LogRecord>
AppendQueue::handOutWhenDue(Duration Gap, Duration Patience, Time Now) {
  std::vector<LogRecord> Records;
  if (this->InFlight || this->Waiting.empty() || Now < this->nextWake(Gap))
    return Records;
  this->LastSentAt = Now;
  for (Item &Each : this->nextBatch()) {
    // Another host's record can only be here since this host appended before;
    // its maker gives it to a host that does.
    if (Each.Record.Id.Maker != this->Self)
      continue;
    Records.push_back(Each.Record);
    Each.MaybeTaken = true;
    this->Unknowns.push_back({std::move(Each), Now + Patience});
  }
  return Records;
}

void AppendQueue::take(const AppendAnswered &Answer, Time Now) {
  if (!this->InFlight || this->InFlight->Append != Answer.Append)
    return;
  std::vector<Item> Items = std::move(this->InFlight->Items);
  this->InFlight.reset();
  switch (Answer.Result) {
  case AppendResult::Appended:
    return this->landed(Items);
  case AppendResult::Refused:
    return this->refused(std::move(Items), Now);
  case AppendResult::Unknown:
    return this->unknown(std::move(Items), Now);
  }
}

void AppendQueue::sawRecord(const RecordId &Id) {
  if (Id.Maker != this->Self || !this->Open.contains(Id))
    return;
  this->settle(Id, true);
  std::erase_if(this->Unknowns, [&](const Doubtful &Each) {
    return Each.What.Record.Id == Id;
  });
  std::erase_if(this->Waiting,
                [&](const Item &Each) { return Each.Record.Id == Id; });
}

void AppendQueue::sawEnd(Time AskedAt) {
  const auto Judged = [&](const Doubtful &Each) {
    return Each.Since < AskedAt;
  };
  for (Doubtful &Each : this->Unknowns) {
    if (!Judged(Each))
      continue;
    if (mayRepeat(Each.What.Record))
      this->Waiting.push_front(std::move(Each.What));
    else
      this->Open.erase(Each.What.Record.Id);
  }
  std::erase_if(this->Unknowns, Judged);
}

std::vector<Settled> AppendQueue::takeSettled() {
  return std::exchange(this->Done, {});
}

Time AppendQueue::nextWake(Duration Gap) const {
  if (this->InFlight)
    return this->InFlight->SentAt + this->Options.StallAfter;
  if (this->Waiting.empty())
    return Never;
  return std::max(this->LastSentAt + Gap, this->NotBefore);
}

void AppendQueue::send(Time Now, Actions &Out) {
  Flight Next{AppendId(++this->LastAppend), this->nextBatch(), Now};
  AppendToLog Append{Next.Append, {}};
  for (const Item &Each : Next.Items)
    Append.Records.push_back(Each.Record);
  this->InFlight = std::move(Next);
  this->LastSentAt = Now;
  Out.add(std::move(Append));
  Out.count("log_appends");
}

std::vector<AppendQueue::Item> AppendQueue::nextBatch() {
  std::vector<Item> Batch;
  std::size_t Bytes = 0;
  while (!this->Waiting.empty() && Batch.size() < this->Options.MostRecords) {
    Bytes += estimatedBytes(this->Waiting.front().Record.Body);
    if (!Batch.empty() && Bytes > this->Options.MostBytes)
      break;
    Batch.push_back(std::move(this->Waiting.front()));
    this->Waiting.pop_front();
  }
  return Batch;
}

void AppendQueue::landed(const std::vector<Item> &Items) {
  for (const Item &Each : Items)
    this->settle(Each.Record.Id, true);
}

void AppendQueue::refused(std::vector<Item> Items, Time Now) {
  this->NotBefore = Now + this->Options.Backoff;
  for (auto Each = Items.rbegin(); Each != Items.rend(); ++Each) {
    const RecordId Id = Each->Record.Id;
    if (!this->Open.contains(Id))
      continue;
    if (mayRepeat(Each->Record))
      this->Waiting.push_front(std::move(*Each));
    else
      this->settle(Id, false);
  }
}

void AppendQueue::unknown(std::vector<Item> Items, Time Now) {
  this->NotBefore = Now + this->Options.Backoff;
  for (Item &Each : Items) {
    if (!this->Open.contains(Each.Record.Id))
      continue;
    Each.MaybeTaken = true;
    this->Unknowns.push_back({std::move(Each), Now});
  }
}

void AppendQueue::settle(const RecordId &Id, bool Taken) {
  if (this->Open.erase(Id) > 0)
    this->Done.push_back({Id, Taken});
}

} // namespace banyanpick
