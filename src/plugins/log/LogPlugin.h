/// \file
/// The plug-in `log`, which reads the platform's log and appends to it.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/log/AppendQueue.h"
#include "plugins/log/AppendRoute.h"
#include "plugins/log/LogReader.h"
#include "plugins/log/LogTail.h"
#include "plugins/log/RecordTail.h"

#include <optional>

namespace banyanpick {

/// Delivers every record to the LogObservers once and in log order, whether it
/// was read from the log or relayed by a peer. Appends records by group commit.
class LogPlugin : public Plugin, public LogWriter, public LogTail {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  RecordId append(LogRecordBody Body, Time Now, Actions &Out) override;
  bool withdraw(const RecordId &Id) override;
  bool isReachable(Time Now) const override;
  std::size_t unsettled() const override { return this->Queue->unsettled(); }

  LogOffset nextOffset() const override { return this->Reader->nextOffset(); }
  LogOffset firstRetained() const override { return this->Tail->first(); }
  Time endReadAt() const override { return this->EndReadAt; }
  bool isComplete() const override { return this->IsComplete; }
  void skipTo(LogOffset Offset, Time Now, Actions &Out) override;

private:
  void handleRead(const LogRead &Answer, Time Now, Actions &Out);
  void handlePeerMessage(const PeerMessage &Message, Time Now, Actions &Out);
  void handleMissedRecords(LogOffset Start, Time Now, Actions &Out);
  void deliver(const ReadResult &Result, Time Now, Actions &Out);
  void notifySettled(Time Now, Actions &Out);
  void updateReachability(Time Now, Actions &Out);
  void requestFromPeerWhenDue(Time Now, Actions &Out);
  /// Appends the waiting records, or sends them to the host that appends for
  /// this one.
  void sendRecords(Time Now, Actions &Out);
  void refreshRoute(Time Now);
  Duration appendGap() const;

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  std::optional<LogReader> Reader;
  std::optional<AppendQueue> Queue;
  std::optional<RecordTail> Tail;
  Duration ReachableTimeout{};
  Duration RelayInterval{};
  Duration HandoverInterval{};
  Duration HandoverTimeout{};
  double AppendRate = 0;
  std::size_t MaxAppenders = 0;
  AppendRoute Route;
  Time RouteValidUntil{};
  std::size_t MaxRelayBytes = 0;
  Time EndReadAt{};
  Time NextPeerRequestAt{};
  LogOffset LastDelivered = 0;
  std::uint64_t OutOfOrderCount = 0;
  bool IsComplete = true;
  bool Reachable = false;
};

} // namespace banyanpick
