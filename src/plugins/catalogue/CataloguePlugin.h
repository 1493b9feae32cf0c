/// \file
/// The plug-in `catalogue`: what operators declared, folded from the log.
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

/// Folds change sets into the catalogue in force, recovers it when the start
/// of the log is gone, and refuses requests while it may be out of date.
///
/// Ready means: everything the log held, or a whole snapshot or a peer's
/// catalogue with every record after it, was folded, and there is at least one
/// entry. An empty log that starts at offset 1 is a new deployment; it is
/// ready once an operator has declared something.
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
  /// Whether this host, or a peer before this read, had more in force than
  /// the log holds: the log service lost records, and what it shows may be the
  /// start of another log.
  bool isLogTooShort(LogOffset EndOffset, Actions &Out);
  void requestFromPeerWhenDue(Time Now, Actions &Out);
  void updateCurrent(Time Now, Actions &Out);

  Services *PluginServices = nullptr;
  LogTail *Tail = nullptr;
  const MembershipView *Members = nullptr;
  Catalogue InForce;
  std::optional<CatalogueFreshness> Freshness;
  std::optional<SnapshotWriter> Writer;
  SnapshotAssembler Assembler;
  /// While the start of the log is gone and no snapshot was found: the change
  /// sets read so far.
  std::vector<StoredRecord> BufferedRecords;
  LogOffset MissingBefore = 0;  ///< Records before it are needed; 0: none.
  LogOffset RestoredOffset = 0; ///< Records up to it are in the snapshot.
  LogOffset HighestOffset = 0;  ///< Of the offset in force; for the invariant.
  bool IsComplete = false;      ///< Nothing that was in the log is missing.
  bool WasCurrent = false;
  bool WasLogTooShort = false;
  Time NextPeerRequestAt{};
  Duration PeerRequestInterval{};
};

} // namespace banyanpick
