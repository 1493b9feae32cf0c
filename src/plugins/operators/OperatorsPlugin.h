/// \file
/// The plug-in `operators`, which answers the questions of operators.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/catalogue/ChangeAcceptance.h"

#include <deque>
#include <map>
#include <vector>

namespace banyanpick {

/// Authenticates operators, validates change sets and appends them to the log.
/// Reports a change set as accepted only after its record was read back, the
/// fold accepted it, and this host is in contact with most hosts.
class OperatorsPlugin : public Plugin, public LogObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;

  void recordRead(const StoredRecord &Stored, Time Now, Actions &Out) override;
  void appendSettled(const RecordId &Id, bool Appended, Time Now,
                     Actions &Out) override;

private:
  /// A change set without a verdict, and the questions that wait for one.
  struct PendingChange {
    RecordId Record;
    ChangeSet Set;
    std::vector<OperatorRequestId> Questions;
    Time AnswerDeadline{};
  };
  struct HistoryEntry {
    LogOffset Offset = 0;
    ChangeSet Set;
  };

  void handleQuestion(const OperatorRequest &Received, Time Now, Actions &Out);
  OperatorAnswer answer(const OperatorQuestion &Question, Time Now,
                        Actions &Out);
  void apply(const OperatorRequestId &Question, ChangeSet Set, Time Now,
             Actions &Out);
  std::string checkState(const ChangeSet &Set, Time Now) const;
  bool isIdReused(const ChangeSet &Set) const;
  OperatorAnswer verdict(const ChangeId &Id, Time Now) const;
  HistoryShown history(LogOffset From) const;
  StatusReport status(Time Now) const;
  void answerPending(Time Now, Actions &Out);
  static void answerAll(const PendingChange &Pending,
                        const OperatorAnswer &Answer, Actions &Out);

  Services *Registry = nullptr;
  LogWriter *Log = nullptr;
  CatalogueView *CatalogueInForce = nullptr;
  ChangeAcceptance *Acceptance = nullptr;
  HostId Self;
  std::string RootKey;
  Duration AnswerTimeout{};
  std::size_t MaxHistory = 0;
  std::map<ChangeId, PendingChange> PendingChanges;
  std::deque<HistoryEntry> History;
};

} // namespace banyanpick
