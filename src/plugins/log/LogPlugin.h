/// \file
/// The plug-in `log`: reads the platform's log and appends to it.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/log/AppendQueue.h"
#include "plugins/log/Gatherers.h"
#include "plugins/log/LogReader.h"
#include "plugins/log/LogTail.h"
#include "plugins/log/RecordTail.h"

#include <optional>

namespace banyanpick {

/// Hands every record to the LogObservers in log order, once, be it from the
/// log itself or passed on by a peer, and appends by group commit.
class LogPlugin : public Plugin, public LogWriter, public LogTail {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  RecordId append(LogRecordBody Body, Time Now, Actions &Out) override;
  bool withdraw(const RecordId &Id) override;
  bool isReachable(Time Now) const override;
  std::size_t unsettled() const override { return this->Queue->unsettled(); }

  LogOffset nextOffset() const override { return this->Reader->nextOffset(); }
  LogOffset firstKept() const override { return this->Tail->first(); }
  Time endSeenAt() const override { return this->EndSeenAt; }
  bool isWhole() const override { return this->Whole; }
  void skipTo(LogOffset Offset, Time Now, Actions &Out) override;

private:
  void takeRead(const LogRead &Answer, Time Now, Actions &Out);
  void takePeerMessage(const PeerMessage &Message, Time Now, Actions &Out);
  void missed(LogOffset Start, Time Now, Actions &Out);
  void deliver(const ReadStep &Step, Time Now, Actions &Out);
  void tellSettled(Time Now, Actions &Out);
  void noteReachability(Time Now, Actions &Out);
  void askPeerWhenDue(Time Now, Actions &Out);
  /// Appends what waits, or hands it to the host that appends for this one.
  void sendRecords(Time Now, Actions &Out);
  void refreshRoute(Time Now);
  Duration appendGap() const;

  Services *Offered = nullptr;
  const MembershipView *Members = nullptr;
  std::optional<LogReader> Reader;
  std::optional<AppendQueue> Queue;
  std::optional<RecordTail> Tail;
  Duration ReachableWithin{};
  Duration RelayInterval{};
  Duration GatherInterval{};
  Duration GatherPatience{};
  double AppendRate = 0;
  std::size_t MostAppending = 0;
  AppendRoute Route;
  Time RouteFreshUntil{};
  std::size_t MostRelayed = 0;
  Time EndSeenAt{};
  Time AskPeerAt{};
  LogOffset LastDelivered = 0;
  std::uint64_t OutOfOrder = 0;
  bool Whole = true;
  bool Reachable = false;
};

} // namespace banyanpick
