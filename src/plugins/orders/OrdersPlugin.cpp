#include "plugins/orders/OrdersPlugin.h"

#include "base/EventNumbers.h"
#include "base/RendezvousHash.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

constexpr Duration CheckInterval = milliseconds(500);

std::string_view name(OrderResult Result) {
  switch (Result) {
  case OrderResult::Accepted:
    return "accepted";
  case OrderResult::RefusedFencing:
    return "refused-fencing";
  case OrderResult::Failed:
    return "failed";
  case OrderResult::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string joined(std::span<const UpstreamId> Names) {
  std::string Result;
  for (const UpstreamId &Name : Names)
    Result += (Result.empty() ? "" : ",") + Name.Value;
  return Result;
}

} // namespace

void OrdersPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view Section = "orders";
  this->Registry = &Context.services();
  this->Fleet = &Context.services().get<FleetView>();
  this->Members = &Context.services().get<MembershipView>();
  this->SelfIdentity = Context.self();
  this->Leases = LeaderLeases(this->SelfIdentity.Life,
                              {Values.span(Section, "lease"),
                               Values.span(Section, "longest_delivery")});
  this->Orders = EngineOrders({Values.span(Section, "longest_delivery"),
                               Values.span(Section, "read_back_within"),
                               Values.span(Section, "retry_after")});
  this->WeightBytesPerSecond = static_cast<double>(
      Values.size(Section, "weight_store_bytes_per_second"));
  this->SettleTime = Values.span(Section, "settle");
  Context.services().list<LogObserver>().add(*this);
}

void OrdersPlugin::start(Time Now, Actions &) {
  this->CatalogueInForce = &this->Registry->get<CatalogueView>();
  this->Log = &this->Registry->get<LogWriter>();
  this->Drain = this->Registry->find<DrainView>();
  this->Leases.noteMissedRecords(Now);
}

void OrdersPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const OrderAnswered &Answer) {
        this->handleAnswer(Answer, Now, Out);
      },
      [](const auto &) {});
  if (Now >= this->NextCheck)
    this->checkPlacement(Now, Out);
}

void OrdersPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->OrdersOutsideWindow == 0,
                  "orders are given only while a lease of this host is usable");
}

void OrdersPlugin::recordRead(const StoredRecord &Record, Time Now, Actions &) {
  this->Leases.noteRead(Record, Now);
}

void OrdersPlugin::appendSettled(const RecordId &Record, bool Appended, Time,
                                 Actions &) {
  if (!Appended)
    this->Leases.noteRefused(Record);
}

void OrdersPlugin::recordsMissed(LogOffset, Time Now, Actions &) {
  this->Leases.noteMissedRecords(Now);
}

void OrdersPlugin::checkPlacement(Time Now, Actions &Out) {
  this->NextCheck = Now + CheckInterval;
  const bool Leaving = this->Drain && this->Drain->isLeaving();
  if (Leaving || !this->CatalogueInForce->isCurrent(Now))
    return;
  this->updateChanges(Now);
  for (const auto &[Key, Pending] : this->Changes)
    this->advanceChange(Pending, Now, Out);
}

void OrdersPlugin::updateChanges(Time Now) {
  std::map<ChangeKey, PendingChange> Next;
  for (PlacementChange &Change :
       placementChanges(this->CatalogueInForce->catalogue(), *this->Fleet)) {
    const ChangeKey Key{Change.Engine, Change.Model};
    const auto Old = this->Changes.find(Key);
    const bool Same =
        Old != this->Changes.end() && Old->second.Change.Load == Change.Load;
    const Time Since = Same ? Old->second.Since : Now;
    Next[Key] = {std::move(Change), Since};
  }
  for (const UpstreamId &Engine : this->Orders.engines()) {
    const bool IsStillPending = std::ranges::any_of(
        Next, [&](const auto &Entry) { return Entry.first.first == Engine; });
    if (!IsStillPending)
      this->Orders.noteDone(Engine);
  }
  this->Changes = std::move(Next);
}

void OrdersPlugin::advanceChange(const PendingChange &Pending, Time Now,
                                 Actions &Out) {
  const UpstreamId &EngineId = Pending.Change.Engine;
  const Upstream *Engine = this->Fleet->find(EngineId);
  const bool IsSettled = Now >= Pending.Since + this->SettleTime;
  if (!Engine || !IsSettled || !this->isLeader(EngineId) ||
      !this->Orders.isFree(EngineId, Now))
    return;
  const bool ChecksFencing = Engine->Listing.ChecksFencing;
  const auto Window = this->Leases.window(EngineId, ChecksFencing, Now);
  if (!Window) {
    if (this->Leases.shouldRequest(EngineId, ChecksFencing, Now))
      this->requestLease(EngineId, Now, Out);
    return;
  }
  if (this->mayLoad(Pending.Change, Now))
    this->sendOrder(Pending, *Engine, *Window, Now, Out);
}

void OrdersPlugin::requestLease(const UpstreamId &Engine, Time Now,
                                Actions &Out) {
  if (!this->Log->isReachable(Now))
    return;
  const LeaderLease Lease{Engine, this->SelfIdentity.Host,
                          this->SelfIdentity.Life, this->Leases.length()};
  const RecordId Record = this->Log->append(Lease, Now, Out);
  this->Leases.noteRequested(Engine, Record, Now);
  Out.log(
      logEvent(events::LeaseRequested).with("engine", Engine.Value).build());
}

void OrdersPlugin::sendOrder(const PendingChange &Pending,
                             const Upstream &Engine, const OrderWindow &Window,
                             Time Now, Actions &Out) {
  const OrderId Id{this->SelfIdentity.Life, ++this->OrderCount};
  if (Now >= Window.Until)
    ++this->OrdersOutsideWindow;
  this->Orders.noteSent(Pending.Change.Engine, Id, Now);
  Out.count("orders_given", Pending.Change.Load ? "load" : "unload");
  Out.log(logEvent(events::PlacementDecided)
              .with("engine", Pending.Change.Engine.Value)
              .with("model", Pending.Change.Model.Value)
              .with("action", Pending.Change.Load ? "load" : "unload")
              .with("fencing", Window.Fencing)
              .with("candidates", joined(Pending.Change.Candidates))
              .build());
  Out.add(OrderUpstream{Id, Pending.Change.Engine, Engine.Listing.At,
                        Window.Fencing, Window.Until,
                        this->makeBody(Pending.Change)});
}

void OrdersPlugin::handleAnswer(const OrderAnswered &Answer, Time Now,
                                Actions &Out) {
  if (!this->Orders.noteAnswer(Answer, Now))
    return;
  if (Answer.Result == OrderResult::RefusedFencing)
    this->Leases.invalidate(Answer.Upstream);
  Out.count("orders_answered", name(Answer.Result));
  Out.log(logEvent(events::OrderAnswerRead)
              .with("engine", Answer.Upstream.Value)
              .with("result", name(Answer.Result))
              .with("highest_fencing", Answer.HighestFencing)
              .build());
}

bool OrdersPlugin::isLeader(const UpstreamId &Engine) const {
  const auto Weight = [&](const HostId &Host) {
    return rendezvousWeight(Engine.Value, Host.Value);
  };
  const std::uint64_t OwnWeight = Weight(this->SelfIdentity.Host);
  return std::ranges::none_of(
      this->Members->livePeers(),
      [&](const HostId &Peer) { return Weight(Peer) > OwnWeight; });
}

OrderBody OrdersPlugin::makeBody(const PlacementChange &Change) const {
  if (!Change.Load)
    return UnloadModel{Change.Model};
  const ModelEntry *Model =
      this->CatalogueInForce->catalogue().model(Change.Model);
  return LoadModel{Change.Model, Model ? Model->Weights : std::string()};
}

bool OrdersPlugin::mayLoad(const PlacementChange &Change, Time Now) {
  const ModelEntry *Model =
      this->CatalogueInForce->catalogue().model(Change.Model);
  if (!Change.Load || !Model)
    return true;
  const auto Hosts = static_cast<double>(this->Members->livePeers().size() + 1);
  return this->Budget.tryAcquire(static_cast<double>(Model->WeightBytes),
                                 this->WeightBytesPerSecond / Hosts, Now);
}

std::vector<SettingDeclaration> OrdersPlugin::settings() {
  const std::string Section = "orders";
  return {{Section, "lease", SettingKind::Span, "20s",
           "Length of a steward's lease on giving orders to an engine; orders "
           "are given in its first half. Equal on all hosts.",
           2e6, 600e6},
          {Section, "longest_delivery", SettingKind::Span, "5s",
           "An order arrives, or is given up, within this.", 100e3, 60e6},
          {Section, "read_back_within", SettingKind::Span, "2min",
           "An engine's report should show an order's effect within this; "
           "choose it longer than the longest load of a model.",
           1e6, 3600e6},
          {Section, "retry_after", SettingKind::Span, "10s",
           "After a failed order the engine is left alone for this.", 100e3,
           3600e6},
          {Section, "settle", SettingKind::Span, "5s",
           "A change of placement is made once it has been wanted for this.", 0,
           600e6},
          {Section, "weight_store_bytes_per_second", SettingKind::Size,
           "1024MB",
           "What the weight store can give a second, shared by all entry "
           "hosts.",
           1, 1e13}};
}

namespace {

const PluginRegistration
    Registration({"orders",
                  {"fleet", "membership"},
                  OrdersPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<OrdersPlugin>();
                  }});

} // namespace

} // namespace banyanpick
