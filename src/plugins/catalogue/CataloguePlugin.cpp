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

/// Snapshots made in the time the log keeps a record.
constexpr int SnapshotsPerRetention = 4;
/// When refused callers come back.
constexpr Duration RetryWhenCurrent = seconds(1);

} // namespace

void CataloguePlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Offered = &Context.services();
  this->Known.emplace(Values.span("catalogue", "current_within"));
  this->AskInterval = Values.span("catalogue", "ask_interval");
  this->Writer.emplace(
      Context.self().Host,
      SnapshotWriterOptions{Values.span("log", "retention") /
                                SnapshotsPerRetention,
                            Values.size("catalogue", "snapshot_chunk")},
      Context.random());
  this->Tail = &this->Offered->get<LogTail>();
  this->Offered->provide<CatalogueView>(*this);
  this->Offered->provide<ChangeAcceptance>(*this);
  this->Offered->list<LogObserver>().add(*this);
  this->Offered->list<AdmissionGate>().add(*this);
  this->Offered->list<StatusContributor>().add(*this);
}

void CataloguePlugin::start(Time Now, Actions &) {
  this->Members = this->Offered->find<MembershipView>();
  this->AskPeerAt = Now + this->AskInterval;
}

void CataloguePlugin::handle(const Event &What, Time Now, Actions &Out) {
  this->Known->judge(this->Members, Now);
  if (const auto *Given = std::get_if<PeerMessageReceived>(&What))
    this->takePeerMessage(Given->Message, Now, Out);
  this->askPeerWhenDue(Now, Out);
  if (this->Complete)
    this->Writer->writeWhenDue(this->InForce, this->Members,
                               this->Offered->get<LogWriter>(), Now, Out);
  this->noteCurrency(Now, Out);
  this->HighestSeen = std::max(this->HighestSeen, this->InForce.offset());
}

Time CataloguePlugin::nextWake() const {
  if (this->Complete)
    return this->Writer->nextWake();
  return this->Members ? this->AskPeerAt : Never;
}

void CataloguePlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->InForce.offset() >= this->HighestSeen,
                  "the offset in force never falls");
}

bool CataloguePlugin::isReady() const {
  return this->Complete && !this->InForce.entries().empty();
}

bool CataloguePlugin::isCurrent(Time Now) const {
  return this->Complete && this->Known->isCurrent(this->Members, Now);
}

bool CataloguePlugin::mayAccept(Time Now) const {
  return this->isCurrent(Now) && this->Known->hearsMost(this->Members, Now);
}

void CataloguePlugin::recordRead(const StoredRecord &Read, Time Now,
                                 Actions &Out) {
  if (Read.Offset <= this->RestoredAt)
    return;
  const LogRecordBody &Body = Read.Record.Body;
  if (const auto *Chunk = std::get_if<SnapshotChunk>(&Body))
    this->takeChunk(Read, *Chunk, Now, Out);
  const auto *Configuration = std::get_if<ConfigurationRecord>(&Body);
  if (this->MissingBefore > 0) {
    if (Configuration)
      this->Held.push_back(Read);
    return;
  }
  if (Configuration)
    this->foldSet(Read, Configuration->Set, Out);
  else
    this->InForce.passOver(Read.Offset);
}

void CataloguePlugin::caughtUp(LogOffset EndOffset, Time Now, Actions &Out) {
  if (this->MissingBefore > 0)
    return;
  if (this->holdsTooLittle(EndOffset, Out)) {
    // What was folded from it is not to be served; a peer has the catalogue.
    this->Complete = this->InForce.offset() >= EndOffset;
    return;
  }
  this->InForce.passOver(EndOffset - 1);
  this->Known->confirm(this->Tail->endReadAt());
  this->Complete = true;
  this->Writer->begin(Now);
}

void CataloguePlugin::recordsMissed(LogOffset StartOffset, Time, Actions &) {
  this->Held.clear();
  if (this->RestoredAt + 1 >= StartOffset ||
      this->InForce.offset() + 1 >= StartOffset)
    return;
  this->MissingBefore = StartOffset;
  this->Complete = false;
}

std::optional<NotRun> CataloguePlugin::check(const Request &, Time Now) {
  if (!this->isReady())
    return NotRun{RefusalReason::NotReady, RetryWhenCurrent,
                  "this host does not know the catalogue yet; ask another one"};
  if (!this->isCurrent(Now))
    return NotRun{RefusalReason::NotCurrent, RetryWhenCurrent,
                  "this host is cut off from the log; ask another one"};
  return std::nullopt;
}

void CataloguePlugin::contribute(StatusReport &Report, Time Now) const {
  Report.Ready = this->isReady();
  Report.Current = this->isCurrent(Now);
  Report.InForce = this->InForce.offset();
}

void CataloguePlugin::takePeerMessage(const PeerMessage &Message, Time Now,
                                      Actions &Out) {
  if (const auto *Beat = std::get_if<Heartbeat>(&Message.Body)) {
    if (this->Complete)
      this->Known->hear(*Beat, this->InForce.offset(), Now);
    return;
  }
  if (const auto *Asked = std::get_if<RecordsRequest>(&Message.Body)) {
    const LogOffset Kept = this->Tail->firstRetained();
    if (this->isReady() && (Kept == 0 || Asked->FromOffset < Kept))
      Out.add(SendToPeer{Message.From,
                         CatalogueRelayed{this->InForce.offset(),
                                          snapshotText(this->InForce)}});
    return;
  }
  const auto *Relayed = std::get_if<CatalogueRelayed>(&Message.Body);
  if (!Relayed || Relayed->AtOffset <= this->InForce.offset())
    return;
  const bool Restored = this->restore(Relayed->AtOffset, Relayed->Text,
                                      Message.From.Value, Now, Out);
  // What the log itself can still give is read there, for the other plug-ins.
  if (Restored && !this->Offered->get<LogWriter>().isReachable(Now))
    this->Tail->skipTo(Relayed->AtOffset + 1, Now, Out);
}

void CataloguePlugin::takeChunk(const StoredRecord &Read,
                                const SnapshotChunk &Chunk, Time Now,
                                Actions &Out) {
  const std::uint64_t DamagedBefore = this->Assembler.damaged();
  const auto Whole = this->Assembler.add(Chunk);
  if (this->Assembler.damaged() > DamagedBefore)
    Out.log(logEvent(events::SnapshotDamaged)
                .with("offset", Read.Offset)
                .with("at", Chunk.AtOffset)
                .build());
  if (!Whole)
    return;
  this->Writer->sawWhole(Whole->AtOffset, Now);
  if (this->MissingBefore > 0)
    this->restore(Whole->AtOffset, Whole->Text, "log", Now, Out);
}

void CataloguePlugin::foldSet(const StoredRecord &Read, const ChangeSet &Set,
                              Actions &Out) {
  const ChangeVerdict Verdict = this->InForce.fold(Set, Read.Offset);
  const auto *Refused = std::get_if<ChangeRefused>(&Verdict);
  auto Line =
      logEvent(Refused ? events::ChangeRejected : events::CatalogueAdvanced)
          .with("offset", Read.Offset)
          .with("change", Set.Id.Value)
          .with("author", Set.Author.Value);
  if (Refused)
    Line.with("why", Refused->Message);
  Out.log(Line.build());
}

bool CataloguePlugin::restore(LogOffset AtOffset, std::string_view Text,
                              std::string_view Source, Time Now, Actions &Out) {
  const bool Gap = AtOffset + 1 < this->MissingBefore;
  if (Gap || AtOffset <= this->InForce.offset())
    return false;
  SnapshotState State;
  try {
    State = snapshotFromText(Text);
  } catch (const Error &Problem) {
    Out.log(logEvent(events::SnapshotDamaged)
                .with("at", AtOffset)
                .with("why", Problem.what())
                .build());
    return false;
  }
  this->InForce.restore(std::move(State.Entries), AtOffset,
                        std::move(State.Verdicts));
  this->RestoredAt = AtOffset;
  this->MissingBefore = 0;
  this->Complete = true;
  this->Writer->begin(Now);
  Out.log(logEvent(events::CatalogueRestored)
              .with("offset", AtOffset)
              .with("from", Source)
              .build());
  for (const StoredRecord &Each : std::exchange(this->Held, {})) {
    if (Each.Offset > AtOffset)
      this->foldSet(Each, std::get<ConfigurationRecord>(Each.Record.Body).Set,
                    Out);
  }
  return true;
}

bool CataloguePlugin::holdsTooLittle(LogOffset EndOffset, Actions &Out) {
  const Time ReadAt = this->Tail->endReadAt();
  const auto KnowsMore = [&](const Member &Each) {
    return Each.InForce >= EndOffset && Each.LastHeard < ReadAt;
  };
  bool TooLittle = this->InForce.offset() >= EndOffset;
  if (this->Members)
    TooLittle |= std::ranges::any_of(this->Members->peers(), KnowsMore);
  if (TooLittle && !this->LogTooShort)
    Out.log(logEvent(events::LogRecordsLost).with("end", EndOffset).build());
  this->LogTooShort = TooLittle;
  return TooLittle;
}

void CataloguePlugin::askPeerWhenDue(Time Now, Actions &Out) {
  if (this->Complete || !this->Members || Now < this->AskPeerAt)
    return;
  this->AskPeerAt = Now + this->AskInterval;
  if (const Member *Best = bestPeer(*this->Members))
    Out.add(SendToPeer{Best->Listing.Id, RecordsRequest{0}});
}

void CataloguePlugin::noteCurrency(Time Now, Actions &Out) {
  const bool Is = this->isCurrent(Now);
  if (Is == this->WasCurrent)
    return;
  this->WasCurrent = Is;
  Out.log(logEvent(Is ? events::HostCurrent : events::HostNotCurrent)
              .with("offset", this->InForce.offset())
              .build());
}

} // namespace banyanpick
