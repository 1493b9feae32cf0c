#include "plugins/log/LogPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "plugins/log/BestPeer.h"

#include <algorithm>

namespace banyanpick {

namespace {

std::vector<SettingDeclaration> logSettings() {
  using Kind = SettingKind;
  return {
      {"log", "poll_gap", Kind::Span, "20ms",
       "Pause after a read of the log that brought nothing.", 1e3, 1e6},
      {"log", "backoff_first", Kind::Span, "100ms",
       "Pause after the first failed read or append.", 1e3, 10e6},
      {"log", "backoff_most", Kind::Span, "1s",
       "Longest pause after failed reads.", 1e3, 60e6},
      {"log", "stall_after", Kind::Span, "30s",
       "A read or append without any answer is given up after this.", 1e6,
       600e6},
      {"log", "reachable_within", Kind::Span, "2s",
       "The log counts as reachable this long after its last answer.", 100e3,
       60e6},
      {"log", "relay_interval", Kind::Span, "500ms",
       "How often a host cut off from the log asks a peer for records.", 10e3,
       60e6},
      {"log", "append_rate", Kind::Fraction, "200",
       "Appends a second that all entry hosts together make at the most.", 1,
       1e5},
      {"log", "appending_hosts", Kind::Whole, "16",
       "With more entry hosts than this, this many append for all; 0: every "
       "host appends itself.",
       0, 1000},
      {"log", "gather_interval", Kind::Span, "10ms",
       "How often a host hands its records to the one that appends for it.",
       1e3, 1e6},
      {"log", "gather_patience", Kind::Span, "500ms",
       "A record handed over and not seen in the log after this is handed over "
       "again.",
       10e3, 60e6},
      {"log", "append_records", Kind::Whole, "1000",
       "Most records in one append.", 1, 1e5},
      {"log", "append_bytes", Kind::Size, "256KB",
       "Most bytes in one append, estimated.", 1024, 64e6},
      {"log", "waiting_records", Kind::Whole, "20000",
       "Most records that wait to be appended.", 10, 1e7},
      {"log", "tail_bytes", Kind::Size, "4MB",
       "Records kept in memory to be passed on to peers.", 1024, 1e9},
      {"log", "relay_bytes", Kind::Size, "64KB",
       "Most bytes of records passed on in one message.", 1024, 16e6},
      {"log", "retention", Kind::Span, "24h",
       "How long the log service surely keeps a record.", 1e6, 1e14},
  };
}

const PluginRegistration Registration({"log", {}, logSettings, [] {
                                         return std::unique_ptr<Plugin>(
                                             std::make_unique<LogPlugin>());
                                       }});

LogReaderOptions readerOptions(const Settings &Values) {
  return {Values.span("log", "poll_gap"), Values.span("log", "backoff_first"),
          Values.span("log", "backoff_most"),
          Values.span("log", "stall_after")};
}

AppendQueueOptions queueOptions(const Settings &Values) {
  return {
      Values.whole("log", "append_records"), Values.size("log", "append_bytes"),
      Values.whole("log", "waiting_records"),
      Values.span("log", "backoff_first"), Values.span("log", "stall_after")};
}

} // namespace

void LogPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Registry = &Context.services();
  this->Reader.emplace(readerOptions(Values), Context.random());
  this->Queue.emplace(queueOptions(Values), Context.self().Life);
  this->Tail.emplace(Values.size("log", "tail_bytes"));
  this->ReachableTimeout = Values.span("log", "reachable_within");
  this->RelayInterval = Values.span("log", "relay_interval");
  this->AppendRate = Values.fraction("log", "append_rate");
  this->MaxAppenders =
      static_cast<std::size_t>(Values.whole("log", "appending_hosts"));
  this->HandoverInterval = Values.span("log", "gather_interval");
  this->HandoverTimeout = Values.span("log", "gather_patience");
  this->MaxRelayBytes = Values.size("log", "relay_bytes");
  this->Registry->provide<LogWriter>(*this);
  this->Registry->provide<LogTail>(*this);
}

void LogPlugin::start(Time Now, Actions &Out) {
  this->Members = this->Registry->find<MembershipView>();
  this->NextPeerRequestAt = Now + this->RelayInterval;
  this->Reader->readWhenDue(Now, Out);
}

void LogPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const LogRead &Answer) { this->handleRead(Answer, Now, Out); },
      [&](const LogReadFailed &) { this->Reader->noteFailure(Now); },
      [&](const AppendAnswered &Answer) {
        this->Queue->handleAnswer(Answer, Now);
      },
      [&](const PeerMessageReceived &Received) {
        this->handlePeerMessage(Received.Message, Now, Out);
      },
      [](const auto &) {});
  this->updateReachability(Now, Out);
  this->notifySettled(Now, Out);
  this->refreshRoute(Now);
  this->sendRecords(Now, Out);
  this->Reader->readWhenDue(Now, Out);
  this->requestFromPeerWhenDue(Now, Out);
}

Time LogPlugin::nextWake() const {
  const Time Own = std::min(this->Reader->nextWake(),
                            this->Queue->nextWake(this->appendGap()));
  if (!this->Members)
    return Own;
  return std::min(Own, this->Reachable
                           ? this->Reader->answeredAt() + this->ReachableTimeout
                           : this->NextPeerRequestAt);
}

void LogPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->OutOfOrderCount == 0,
                  "log records are delivered in log order, once");
}

RecordId LogPlugin::append(LogRecordBody Body, Time Now, Actions &Out) {
  const RecordId Id = this->Queue->add(std::move(Body));
  this->sendRecords(Now, Out);
  return Id;
}

bool LogPlugin::withdraw(const RecordId &Id) {
  return this->Queue->withdraw(Id);
}

bool LogPlugin::isReachable(Time Now) const {
  return this->Reader->nextOffset() > 0 &&
         Now < this->Reader->answeredAt() + this->ReachableTimeout;
}

void LogPlugin::skipTo(LogOffset Offset, Time Now, Actions &Out) {
  if (Offset <= this->Reader->nextOffset())
    return;
  this->Reader->skipTo(Offset);
  this->handleMissedRecords(Offset, Now, Out);
}

void LogPlugin::handleRead(const LogRead &Answer, Time Now, Actions &Out) {
  const bool IsFirstRead = this->Reader->nextOffset() == 0;
  const ReadResult Result = this->Reader->handleAnswer(Answer, Now);
  if (Result.EndRegressed) {
    Out.log(logEvent(events::LogRecordsLost)
                .with("end", Answer.EndOffset)
                .with("next", this->Reader->nextOffset())
                .build());
    Out.count("log_went_back");
    return;
  }
  if (Result.MissedUpTo) {
    const bool WasComplete = this->IsComplete;
    this->handleMissedRecords(*Result.MissedUpTo, Now, Out);
    this->IsComplete = WasComplete && IsFirstRead;
  } else if (IsFirstRead) {
    this->Tail->restart(Answer.StartOffset);
  }
  this->deliver(Result, Now, Out);
  if (!Result.CaughtUp)
    return;
  this->EndReadAt = std::max(this->EndReadAt, Result.RequestedAt);
  this->Queue->noteEndRead(Result.RequestedAt);
  for (LogObserver *Observer : this->Registry->list<LogObserver>().all())
    Observer->caughtUp(Answer.EndOffset, Now, Out);
}

void LogPlugin::handlePeerMessage(const PeerMessage &Message, Time Now,
                                  Actions &Out) {
  if (const auto *Requested = std::get_if<RecordsRequest>(&Message.Body)) {
    const LogOffset Retained = this->Tail->first();
    if (Retained > 0 && Requested->FromOffset >= Retained)
      Out.add(SendToPeer{
          Message.From,
          this->Tail->recordsFrom(Requested->FromOffset, this->MaxRelayBytes)});
    return;
  }
  if (const auto *HandedOver = std::get_if<RecordsToAppend>(&Message.Body)) {
    for (const LogRecord &Record : HandedOver->Records)
      this->Queue->addForPeer(Record);
    return;
  }
  if (const auto *Relayed = std::get_if<RecordsRelayed>(&Message.Body))
    this->deliver(this->Reader->handleRelayed(*Relayed), Now, Out);
}

void LogPlugin::handleMissedRecords(LogOffset Start, Time Now, Actions &Out) {
  this->IsComplete = false;
  this->Tail->restart(Start);
  this->LastDelivered = Start - 1;
  Out.log(logEvent(events::RecordsMissed).with("start", Start).build());
  for (LogObserver *Observer : this->Registry->list<LogObserver>().all())
    Observer->recordsMissed(Start, Now, Out);
}

void LogPlugin::deliver(const ReadResult &Result, Time Now, Actions &Out) {
  this->Tail->add(Result.NewRecords, this->Reader->nextOffset());
  for (const StoredRecord &Stored : Result.NewRecords) {
    if (Stored.Offset < this->LastDelivered)
      ++this->OutOfOrderCount;
    this->LastDelivered = Stored.Offset;
    this->Queue->noteRecordRead(Stored.Record.Id);
    for (LogObserver *Observer : this->Registry->list<LogObserver>().all())
      Observer->recordRead(Stored, Now, Out);
  }
}

void LogPlugin::notifySettled(Time Now, Actions &Out) {
  for (const SettledRecord &Settled : this->Queue->takeSettled()) {
    for (LogObserver *Observer : this->Registry->list<LogObserver>().all())
      Observer->appendSettled(Settled.Id, Settled.Appended, Now, Out);
  }
}

void LogPlugin::updateReachability(Time Now, Actions &Out) {
  const bool IsReachableNow = this->isReachable(Now);
  if (IsReachableNow == this->Reachable)
    return;
  this->Reachable = IsReachableNow;
  Out.log(
      logEvent(IsReachableNow ? events::LogReachable : events::LogUnreachable)
          .with("next", this->Reader->nextOffset())
          .build());
}

void LogPlugin::requestFromPeerWhenDue(Time Now, Actions &Out) {
  if (this->Reachable || !this->Members || Now < this->NextPeerRequestAt)
    return;
  this->NextPeerRequestAt = Now + this->RelayInterval;
  if (this->Reader->nextOffset() == 0)
    return;
  if (const Member *Best = bestPeer(*this->Members))
    Out.add(SendToPeer{Best->Listing.Id,
                       RecordsRequest{this->Reader->nextOffset()}});
}

void LogPlugin::sendRecords(Time Now, Actions &Out) {
  if (!this->Route.Appender) {
    this->Queue->sendWhenDue(this->appendGap(), Now, Out);
    return;
  }
  std::vector<LogRecord> Records = this->Queue->takeForAppender(
      this->appendGap(), this->HandoverTimeout, Now);
  if (Records.empty())
    return;
  Out.add(
      SendToPeer{*this->Route.Appender, RecordsToAppend{std::move(Records)}});
  Out.count("records_handed_to_gatherers");
}

void LogPlugin::refreshRoute(Time Now) {
  // Ranking all hosts costs more than handling most events, so the route may be
  // one second old.
  constexpr Duration RouteLifetime = seconds(1);
  if (!this->Members || Now < this->RouteValidUntil)
    return;
  this->Route = appendRoute(*this->Members, this->MaxAppenders);
  this->RouteValidUntil = Now + RouteLifetime;
}

Duration LogPlugin::appendGap() const {
  if (this->Route.Appender)
    return this->HandoverInterval;
  return fromSeconds(static_cast<double>(this->Route.AppenderCount) /
                     this->AppendRate);
}

} // namespace banyanpick
