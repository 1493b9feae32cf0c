/// \file
/// The plug-in `orders`, which orders engines to load and unload models.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/orders/EngineOrders.h"
#include "plugins/orders/LeaderLeases.h"
#include "plugins/orders/Placement.h"
#include "plugins/orders/WeightBudget.h"

#include <map>

namespace banyanpick {

/// Moves models between engines until the placement matches the catalogue. Each
/// engine has a leader among the live hosts. Only a leader that holds a lease
/// from the log sends orders.
class OrdersPlugin : public Plugin, public LogObserver {
public:
  // Plugin
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->NextCheck; }
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  // LogObserver
  void recordRead(const StoredRecord &Record, Time Now, Actions &Out) override;
  void appendSettled(const RecordId &Record, bool Appended, Time Now,
                     Actions &Out) override;
  void recordsMissed(LogOffset StartOffset, Time Now, Actions &Out) override;

  /// The settings with their defaults.
  static std::vector<SettingDeclaration> settings();

private:
  /// A needed change of the placement and since when it has been needed.
  struct PendingChange {
    PlacementChange Change;
    Time Since{};
  };
  using ChangeKey = std::pair<UpstreamId, ModelId>;

  void checkPlacement(Time Now, Actions &Out);
  void updateChanges(Time Now);
  void advanceChange(const PendingChange &Pending, Time Now, Actions &Out);
  void requestLease(const UpstreamId &Engine, Time Now, Actions &Out);
  void sendOrder(const PendingChange &Pending, const Upstream &Engine,
                 const OrderWindow &Window, Time Now, Actions &Out);
  void handleAnswer(const OrderAnswered &Answer, Time Now, Actions &Out);
  bool isLeader(const UpstreamId &Engine) const;
  OrderBody makeBody(const PlacementChange &Change) const;
  bool mayLoad(const PlacementChange &Change, Time Now);

  Services *Registry = nullptr;
  const FleetView *Fleet = nullptr;
  const MembershipView *Members = nullptr;
  const CatalogueView *CatalogueInForce = nullptr;
  const DrainView *Drain = nullptr;
  LogWriter *Log = nullptr;
  Identity SelfIdentity;
  LeaderLeases Leases;
  EngineOrders Orders;
  WeightBudget Budget;
  double WeightBytesPerSecond = 0;
  Duration SettleTime{};
  Time NextCheck{};
  std::map<ChangeKey, PendingChange> Changes;
  std::uint64_t OrderCount = 0;
  std::uint64_t OrdersOutsideWindow = 0;
};

} // namespace banyanpick
