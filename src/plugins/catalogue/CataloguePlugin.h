/// \file
/// The plug-in `catalogue`, which folds what operators declared from the log.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/catalogue/CatalogueFreshness.h"
#include "plugins/catalogue/ChangeAcceptance.h"
#include "plugins/catalogue/SnapshotAssembler.h"
#include "plugins/catalogue/SnapshotWriter.h"
#include "plugins/log/LogTail.h"

#include <optional>
#include <vector>

namespace banyanpick {

/// Folds change sets into the catalogue in force, recovers the catalogue when
/// the log no longer holds its start, and refuses requests while the catalogue
/// may be out of date.
///
/// The catalogue is ready when it has at least one entry and holds either
/// everything in the log, or a complete snapshot or a peer's catalogue together
/// with every later record. An empty log that starts at offset 1 is a new
/// deployment, which is ready once an operator has declared something.
class CataloguePlugin : public Plugin,
                        public CatalogueView,
                        public ChangeAcceptance,
                        public LogObserver,
                        public AdmissionGate,
                        public StatusContributor {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  const Catalogue &catalogue() const override { return this->InForce; }
  bool isReady() const override;
  bool isCurrent(Time Now) const override;
  Time confirmedAt() const override { return this->Freshness->confirmedAt(); }

  bool mayAccept(Time Now) const override;

  void recordRead(const StoredRecord &Stored, Time Now, Actions &Out) override;
  void caughtUp(LogOffset EndOffset, Time Now, Actions &Out) override;
  void recordsMissed(LogOffset StartOffset, Time Now, Actions &Out) override;

  std::optional<NotRun> check(const Request &Req, Time Now) override;
  void contribute(StatusReport &Report, Time Now) const override;

private:
  void handlePeerMessage(const PeerMessage &Message, Time Now, Actions &Out);
  void handleChunk(const StoredRecord &Stored, const SnapshotChunk &Chunk,
                   Time Now, Actions &Out);
  void foldChangeSet(const StoredRecord &Stored, const ChangeSet &Set,
                     Actions &Out);
  bool restore(LogOffset AtOffset, std::string_view Text,
               std::string_view Source, Time Now, Actions &Out);
  /// Whether this host, or a peer heard before this read, has a higher offset
  /// in force than the log holds. The log service has then lost records, and
  /// its content may be the start of another log.
  bool isLogTooShort(LogOffset EndOffset, Actions &Out);
  void requestFromPeerWhenDue(Time Now, Actions &Out);
  void updateCurrent(Time Now, Actions &Out);

  Services *Registry = nullptr;
  LogTail *Tail = nullptr;
  const MembershipView *Members = nullptr;
  Catalogue InForce;
  std::optional<CatalogueFreshness> Freshness;
  std::optional<SnapshotWriter> Writer;
  SnapshotAssembler Assembler;
  /// The change sets read while the start of the log is missing and no snapshot
  /// was found yet.
  std::vector<StoredRecord> BufferedRecords;
  LogOffset MissingBefore = 0;  ///< Earlier records are needed; 0: none.
  LogOffset RestoredOffset = 0; ///< The last offset in the snapshot.
  LogOffset HighestOffset = 0;  ///< Highest offset in force, for the invariant.
  bool IsComplete = false;      ///< No record of the log is missing.
  bool WasCurrent = false;
  bool WasLogTooShort = false;
  Time NextPeerRequestAt{};
  Duration PeerRequestInterval{};
};

} // namespace banyanpick
