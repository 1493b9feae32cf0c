/// \file
#include "plugins/catalogue/CataloguePlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "plugins/catalogue/SnapshotText.h"
#include "plugins/log/BestPeer.h"

#include <algorithm>

namespace banyanpick {

namespace {

std::vector<SettingDeclaration> catalogueSettings() {
  using Kind = SettingKind;
  return {
      {"catalogue", "current_within", Kind::Span, "4s",
       "A host that heard nothing of the log for this long stops admitting.",
       100e3, 60e6},
      {"catalogue", "ask_interval", Kind::Span, "1s",
       "How often a host without a catalogue asks a peer for it.", 10e3, 60e6},
      {"catalogue", "snapshot_chunk", Kind::Size, "48KB",
       "Most bytes of one record of a snapshot.", 64, 1e6},
  };
}

const PluginRegistration Registration(
    {"catalogue", {"log"}, catalogueSettings, [] {
       return std::unique_ptr<Plugin>(std::make_unique<CataloguePlugin>());
     }});

/// Number of snapshots written during the retention time of the log.
constexpr int SnapshotsPerRetention = 4;
/// Delay after which refused callers retry.
constexpr Duration RetryDelay = seconds(1);

} // namespace

void CataloguePlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Registry = &Context.services();
  this->Freshness.emplace(Values.span("catalogue", "current_within"));
  this->PeerRequestInterval = Values.span("catalogue", "ask_interval");
  this->Writer.emplace(
      Context.self().Host,
      SnapshotWriterOptions{Values.span("log", "retention") /
                                SnapshotsPerRetention,
                            Values.size("catalogue", "snapshot_chunk")},
      Context.random());
  this->Tail = &this->Registry->get<LogTail>();
  this->Registry->provide<CatalogueView>(*this);
  this->Registry->provide<ChangeAcceptance>(*this);
  this->Registry->list<LogObserver>().add(*this);
  this->Registry->list<AdmissionGate>().add(*this);
  this->Registry->list<StatusContributor>().add(*this);
}

void CataloguePlugin::start(Time Now, Actions &) {
  this->Members = this->Registry->find<MembershipView>();
  this->NextPeerRequestAt = Now + this->PeerRequestInterval;
}

void CataloguePlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  this->Freshness->update(this->Members, Now);
  if (const auto *Received = std::get_if<PeerMessageReceived>(&Incoming))
    this->handlePeerMessage(Received->Message, Now, Out);
  this->requestFromPeerWhenDue(Now, Out);
  if (this->IsComplete)
    this->Writer->writeWhenDue(this->InForce, this->Members,
                               this->Registry->get<LogWriter>(), Now, Out);
  this->updateCurrent(Now, Out);
  this->HighestOffset = std::max(this->HighestOffset, this->InForce.offset());
}

Time CataloguePlugin::nextWake() const {
  if (this->IsComplete)
    return this->Writer->nextWake();
  return this->Members ? this->NextPeerRequestAt : Never;
}

void CataloguePlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->InForce.offset() >= this->HighestOffset,
                  "the offset in force never falls");
}

bool CataloguePlugin::isReady() const {
  return this->IsComplete && !this->InForce.entries().empty();
}

bool CataloguePlugin::isCurrent(Time Now) const {
  return this->IsComplete && this->Freshness->isCurrent(this->Members, Now);
}

bool CataloguePlugin::mayAccept(Time Now) const {
  return this->isCurrent(Now) &&
         this->Freshness->hearsMajority(this->Members, Now);
}

void CataloguePlugin::recordRead(const StoredRecord &Stored, Time Now,
                                 Actions &Out) {
  if (Stored.Offset <= this->RestoredOffset)
    return;
  const LogRecordBody &Body = Stored.Record.Body;
  if (const auto *Chunk = std::get_if<SnapshotChunk>(&Body))
    this->handleChunk(Stored, *Chunk, Now, Out);
  const auto *Configuration = std::get_if<ConfigurationRecord>(&Body);
  if (this->MissingBefore > 0) {
    if (Configuration)
      this->BufferedRecords.push_back(Stored);
    return;
  }
  if (Configuration)
    this->foldChangeSet(Stored, Configuration->Set, Out);
  else
    this->InForce.advanceTo(Stored.Offset);
}

void CataloguePlugin::caughtUp(LogOffset EndOffset, Time Now, Actions &Out) {
  if (this->MissingBefore > 0)
    return;
  if (this->isLogTooShort(EndOffset, Out)) {
    // What was folded from this log must not be served. A peer has the
    // catalogue.
    this->IsComplete = this->InForce.offset() >= EndOffset;
    return;
  }
  this->InForce.advanceTo(EndOffset - 1);
  this->Freshness->confirm(this->Tail->endReadAt());
  this->IsComplete = true;
  this->Writer->scheduleFirst(Now);
}

void CataloguePlugin::recordsMissed(LogOffset StartOffset, Time, Actions &) {
  this->BufferedRecords.clear();
  if (this->RestoredOffset + 1 >= StartOffset ||
      this->InForce.offset() + 1 >= StartOffset)
    return;
  this->MissingBefore = StartOffset;
  this->IsComplete = false;
}

std::optional<NotRun> CataloguePlugin::check(const Request &, Time Now) {
  if (!this->isReady())
    return NotRun{RefusalReason::NotReady, RetryDelay,
                  "this host does not know the catalogue yet; ask another one"};
  if (!this->isCurrent(Now))
    return NotRun{RefusalReason::NotCurrent, RetryDelay,
                  "this host is cut off from the log; ask another one"};
  return std::nullopt;
}

void CataloguePlugin::contribute(StatusReport &Report, Time Now) const {
  Report.Ready = this->isReady();
  Report.Current = this->isCurrent(Now);
  Report.InForce = this->InForce.offset();
}

void CataloguePlugin::handlePeerMessage(const PeerMessage &Message, Time Now,
                                        Actions &Out) {
  if (const auto *Beat = std::get_if<Heartbeat>(&Message.Body)) {
    if (this->IsComplete)
      this->Freshness->handleHeartbeat(*Beat, this->InForce.offset(), Now);
    return;
  }
  if (const auto *Requested = std::get_if<RecordsRequest>(&Message.Body)) {
    const LogOffset Retained = this->Tail->firstRetained();
    if (this->isReady() && (Retained == 0 || Requested->FromOffset < Retained))
      Out.add(SendToPeer{Message.From,
                         CatalogueRelayed{this->InForce.offset(),
                                          serializeSnapshot(this->InForce)}});
    return;
  }
  const auto *Relayed = std::get_if<CatalogueRelayed>(&Message.Body);
  if (!Relayed || Relayed->AtOffset <= this->InForce.offset())
    return;
  const bool IsRestored = this->restore(Relayed->AtOffset, Relayed->Text,
                                        Message.From.Value, Now, Out);
  // While the log is reachable, the records are read from it, since the other
  // plug-ins need them too.
  if (IsRestored && !this->Registry->get<LogWriter>().isReachable(Now))
    this->Tail->skipTo(Relayed->AtOffset + 1, Now, Out);
}

void CataloguePlugin::handleChunk(const StoredRecord &Stored,
                                  const SnapshotChunk &Chunk, Time Now,
                                  Actions &Out) {
  const std::uint64_t DamagedBefore = this->Assembler.damaged();
  const auto Complete = this->Assembler.add(Chunk);
  if (this->Assembler.damaged() > DamagedBefore)
    Out.log(logEvent(events::SnapshotDamaged)
                .with("offset", Stored.Offset)
                .with("at", Chunk.AtOffset)
                .build());
  if (!Complete)
    return;
  this->Writer->noteSnapshotRead(Complete->AtOffset, Now);
  if (this->MissingBefore > 0)
    this->restore(Complete->AtOffset, Complete->Text, "log", Now, Out);
}

void CataloguePlugin::foldChangeSet(const StoredRecord &Stored,
                                    const ChangeSet &Set, Actions &Out) {
  const ChangeVerdict Verdict = this->InForce.fold(Set, Stored.Offset);
  const auto *Refused = std::get_if<ChangeRefused>(&Verdict);
  auto Line =
      logEvent(Refused ? events::ChangeRejected : events::CatalogueAdvanced)
          .with("offset", Stored.Offset)
          .with("change", Set.Id.Value)
          .with("author", Set.Author.Value);
  if (Refused)
    Line.with("why", Refused->Message);
  Out.log(Line.build());
}

bool CataloguePlugin::restore(LogOffset AtOffset, std::string_view Text,
                              std::string_view Source, Time Now, Actions &Out) {
  const bool HasGap = AtOffset + 1 < this->MissingBefore;
  if (HasGap || AtOffset <= this->InForce.offset())
    return false;
  SnapshotState State;
  try {
    State = parseSnapshot(Text);
  } catch (const Error &Problem) {
    Out.log(logEvent(events::SnapshotDamaged)
                .with("at", AtOffset)
                .with("why", Problem.what())
                .build());
    return false;
  }
  this->InForce.restore(std::move(State.Entries), AtOffset,
                        std::move(State.Verdicts));
  this->RestoredOffset = AtOffset;
  this->MissingBefore = 0;
  this->IsComplete = true;
  this->Writer->scheduleFirst(Now);
  Out.log(logEvent(events::CatalogueRestored)
              .with("offset", AtOffset)
              .with("from", Source)
              .build());
  for (const StoredRecord &Stored : std::exchange(this->BufferedRecords, {})) {
    if (Stored.Offset > AtOffset)
      this->foldChangeSet(
          Stored, std::get<ConfigurationRecord>(Stored.Record.Body).Set, Out);
  }
  return true;
}

bool CataloguePlugin::isLogTooShort(LogOffset EndOffset, Actions &Out) {
  const Time ReadAt = this->Tail->endReadAt();
  const auto HasMore = [&](const Member &Peer) {
    return Peer.InForce >= EndOffset && Peer.LastHeard < ReadAt;
  };
  bool IsTooShort = this->InForce.offset() >= EndOffset;
  if (this->Members)
    IsTooShort |= std::ranges::any_of(this->Members->peers(), HasMore);
  if (IsTooShort && !this->WasLogTooShort)
    Out.log(logEvent(events::LogRecordsLost).with("end", EndOffset).build());
  this->WasLogTooShort = IsTooShort;
  return IsTooShort;
}

void CataloguePlugin::requestFromPeerWhenDue(Time Now, Actions &Out) {
  if (this->IsComplete || !this->Members || Now < this->NextPeerRequestAt)
    return;
  this->NextPeerRequestAt = Now + this->PeerRequestInterval;
  if (const Member *Best = bestPeer(*this->Members))
    Out.add(SendToPeer{Best->Listing.Id, RecordsRequest{0}});
}

void CataloguePlugin::updateCurrent(Time Now, Actions &Out) {
  const bool IsCurrentNow = this->isCurrent(Now);
  if (IsCurrentNow == this->WasCurrent)
    return;
  this->WasCurrent = IsCurrentNow;
  Out.log(logEvent(IsCurrentNow ? events::HostCurrent : events::HostNotCurrent)
              .with("offset", this->InForce.offset())
              .build());
}

} // namespace banyanpick
