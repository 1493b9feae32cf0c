/// \file
#include "plugins/log/AppendQueue.h"

#include "plugins/log/RecordSize.h"

#include <algorithm>
#include <iterator>

namespace banyanpick {

namespace {

/// Whether a second copy of the record in the log has no effect.
bool mayRepeat(const LogRecord &Record) {
  return !std::holds_alternative<LeaderLease>(Record.Body);
}

} // namespace

RecordId AppendQueue::add(LogRecordBody Body) {
  const RecordId Id{this->Self, ++this->LastSequence};
  this->Unsettled.insert(Id);
  if (this->Waiting.size() >= this->Options.MaxWaiting) {
    this->settle(Id, false);
    return Id;
  }
  this->Waiting.push_back({LogRecord{Id, std::move(Body)}, false});
  return Id;
}

bool AppendQueue::withdraw(const RecordId &Id) {
  if (this->Unsettled.erase(Id) == 0)
    return false;
  const auto Queued = std::find_if(
      this->Waiting.begin(), this->Waiting.end(),
      [&](const QueuedRecord &Item) { return Item.Record.Id == Id; });
  if (Queued != this->Waiting.end()) {
    const bool WasNeverSent = !Queued->MayBeInLog;
    this->Waiting.erase(Queued);
    return WasNeverSent;
  }
  std::erase_if(this->Unconfirmed, [&](const UnconfirmedRecord &Item) {
    return Item.Entry.Record.Id == Id;
  });
  return false;
}

void AppendQueue::sendWhenDue(Duration Gap, Time Now, Actions &Out) {
  if (this->InFlight &&
      Now >= this->InFlight->SentAt + this->Options.StallTimeout) {
    this->handleUnknown(std::move(this->InFlight->Batch), Now);
    this->InFlight.reset();
  }
  if (this->InFlight || this->Waiting.empty() || Now < this->nextWake(Gap))
    return;
  this->send(Now, Out);
}

void AppendQueue::addForPeer(LogRecord Record) {
  const auto HasSameId = [&](const QueuedRecord &Item) {
    return Item.Record.Id == Record.Id;
  };
  const bool IsQueued =
      std::any_of(this->Waiting.begin(), this->Waiting.end(), HasSameId);
  if (IsQueued || this->Waiting.size() >= this->Options.MaxWaiting)
    return;
  this->Waiting.push_back({std::move(Record), false});
}

std::vector<LogRecord>
AppendQueue::takeForAppender(Duration Gap, Duration Timeout, Time Now) {
  std::vector<LogRecord> Records;
  if (this->InFlight || this->Waiting.empty() || Now < this->nextWake(Gap))
    return Records;
  this->LastSentAt = Now;
  for (QueuedRecord &Item : this->nextBatch()) {
    // Another host's record is only here because this host was an appender
    // before. The record's maker sends it to a current appender.
    if (Item.Record.Id.Maker != this->Self)
      continue;
    Records.push_back(Item.Record);
    Item.MayBeInLog = true;
    this->Unconfirmed.push_back({std::move(Item), Now + Timeout});
  }
  return Records;
}

void AppendQueue::handleAnswer(const AppendAnswered &Answer, Time Now) {
  if (!this->InFlight || this->InFlight->Append != Answer.Append)
    return;
  std::vector<QueuedRecord> Batch = std::move(this->InFlight->Batch);
  this->InFlight.reset();
  switch (Answer.Result) {
  case AppendResult::Appended:
    return this->handleAppended(Batch);
  case AppendResult::Refused:
    return this->handleRefused(std::move(Batch), Now);
  case AppendResult::Unknown:
    return this->handleUnknown(std::move(Batch), Now);
  }
}

void AppendQueue::noteRecordRead(const RecordId &Id) {
  if (Id.Maker != this->Self || !this->Unsettled.contains(Id))
    return;
  this->settle(Id, true);
  std::erase_if(this->Unconfirmed, [&](const UnconfirmedRecord &Item) {
    return Item.Entry.Record.Id == Id;
  });
  std::erase_if(this->Waiting,
                [&](const QueuedRecord &Item) { return Item.Record.Id == Id; });
}

void AppendQueue::noteEndRead(Time RequestedAt) {
  const auto IsCovered = [&](const UnconfirmedRecord &Item) {
    return Item.Since < RequestedAt;
  };
  for (UnconfirmedRecord &Item : this->Unconfirmed) {
    if (!IsCovered(Item))
      continue;
    if (mayRepeat(Item.Entry.Record))
      this->Waiting.push_front(std::move(Item.Entry));
    else
      this->Unsettled.erase(Item.Entry.Record.Id);
  }
  std::erase_if(this->Unconfirmed, IsCovered);
}

std::vector<SettledRecord> AppendQueue::takeSettled() {
  return std::exchange(this->SettledRecords, {});
}

Time AppendQueue::nextWake(Duration Gap) const {
  if (this->InFlight)
    return this->InFlight->SentAt + this->Options.StallTimeout;
  if (this->Waiting.empty())
    return Never;
  return std::max(this->LastSentAt + Gap, this->BackoffUntil);
}

void AppendQueue::send(Time Now, Actions &Out) {
  InFlightAppend Next{AppendId(++this->LastAppendId), this->nextBatch(), Now};
  AppendToLog Append{Next.Append, {}};
  for (const QueuedRecord &Item : Next.Batch)
    Append.Records.push_back(Item.Record);
  this->InFlight = std::move(Next);
  this->LastSentAt = Now;
  Out.add(std::move(Append));
  Out.count("log_appends");
}

std::vector<AppendQueue::QueuedRecord> AppendQueue::nextBatch() {
  std::vector<QueuedRecord> Batch;
  std::size_t Bytes = 0;
  while (!this->Waiting.empty() && Batch.size() < this->Options.MaxRecords) {
    Bytes += estimatedBytes(this->Waiting.front().Record.Body);
    if (!Batch.empty() && Bytes > this->Options.MaxBytes)
      break;
    Batch.push_back(std::move(this->Waiting.front()));
    this->Waiting.pop_front();
  }
  return Batch;
}

void AppendQueue::handleAppended(const std::vector<QueuedRecord> &Batch) {
  for (const QueuedRecord &Item : Batch)
    this->settle(Item.Record.Id, true);
}

void AppendQueue::handleRefused(std::vector<QueuedRecord> Batch, Time Now) {
  this->BackoffUntil = Now + this->Options.Backoff;
  for (auto Item = Batch.rbegin(); Item != Batch.rend(); ++Item) {
    const RecordId Id = Item->Record.Id;
    if (!this->Unsettled.contains(Id))
      continue;
    if (mayRepeat(Item->Record))
      this->Waiting.push_front(std::move(*Item));
    else
      this->settle(Id, false);
  }
}

void AppendQueue::handleUnknown(std::vector<QueuedRecord> Batch, Time Now) {
  this->BackoffUntil = Now + this->Options.Backoff;
  for (QueuedRecord &Item : Batch) {
    if (!this->Unsettled.contains(Item.Record.Id))
      continue;
    Item.MayBeInLog = true;
    this->Unconfirmed.push_back({std::move(Item), Now});
  }
}

void AppendQueue::settle(const RecordId &Id, bool Appended) {
  if (this->Unsettled.erase(Id) > 0)
    this->SettledRecords.push_back({Id, Appended});
}

} // namespace banyanpick
