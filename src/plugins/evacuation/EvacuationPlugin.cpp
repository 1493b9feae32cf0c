#include "plugins/evacuation/EvacuationPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyanpick {

void EvacuationPlugin::initialize(PluginContext &Context) {
  this->UnknownZoneAfter =
      Context.settings().span("evacuation", "unknown_zone_after");
  Context.services().provide<EvacuationView>(*this);
  Context.services().list<EngineObserver>().add(*this);
}

void EvacuationPlugin::handle(const Event &Received, Time Now, Actions &Out) {
  match(
      Received,
      [&](const PeerMessageReceived &Incoming) {
        if (const auto *Beat = std::get_if<Heartbeat>(&Incoming.Message.Body))
          this->takePeer(Incoming.Message.From, Beat->Evacuations, Now, Out);
      },
      [&](const GatewayEvent &Change) {
        if (const auto *Read = std::get_if<EvacuationsRead>(&Change))
          this->takeStored(*Read, Now, Out);
      },
      [](const auto &) {});
  if (Now >= this->ZoneCheckAt)
    this->logUnknownZones(Out);
}

void EvacuationPlugin::takeStored(const EvacuationsRead &Read, Time Now,
                                  Actions &Out) {
  for (const EvacuationRecord &Record : Read.Records)
    this->note(Record, this->Records.applyStored(Record), Out);
  if (Read.Complete && this->Records.applyListing(Read.Records, Read.UpTo))
    ++this->Changes;
  this->announceChanges("store", Now, Out);
}

void EvacuationPlugin::takePeer(const HostId &From,
                                std::span<const EvacuationRecord> Sent,
                                Time Now, Actions &Out) {
  for (const EvacuationRecord &Record : Sent)
    this->note(Record, this->Records.applyPeer(Record), Out);
  if (!Sent.empty())
    this->announceChanges(From.Value, Now, Out);
}

void EvacuationPlugin::note(const EvacuationRecord &Record,
                            EvacuationRecords::Result Result, Actions &Out) {
  switch (Result) {
  case EvacuationRecords::Result::Applied:
    ++this->Changes;
    return;
  case EvacuationRecords::Result::Known:
    return;
  case EvacuationRecords::Result::NoRoom:
    Out.count("evacuations_dropped", Record.Zone.Value);
    return;
  }
}

void EvacuationPlugin::announceChanges(std::string_view From, Time Now,
                                       Actions &Out) {
  std::vector<ZoneId> Current = this->Records.evacuated();
  if (Current == this->Announced)
    return;
  std::vector<ZoneId> Added;
  std::vector<ZoneId> Removed;
  std::ranges::set_difference(Current, this->Announced,
                              std::back_inserter(Added));
  std::ranges::set_difference(this->Announced, Current,
                              std::back_inserter(Removed));
  this->Announced = std::move(Current);
  for (const ZoneId &Zone : Added) {
    Out.log(logEvent(events::ZoneEvacuated)
                .with("zone", Zone.Value)
                .with("from", From)
                .build());
    this->Unchecked.push_back(Zone);
    // All zones are checked together, so the newest decides when.
    this->ZoneCheckAt = Now + this->UnknownZoneAfter;
  }
  for (const ZoneId &Zone : Removed) {
    Out.log(logEvent(events::EvacuationEnded)
                .with("zone", Zone.Value)
                .with("from", From)
                .build());
    std::erase(this->Unchecked, Zone);
  }
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Gauge, "zones_evacuated",
                            "", static_cast<double>(this->Announced.size())});
  this->closeEngines(Out);
}

void EvacuationPlugin::logUnknownZones(Actions &Out) {
  this->ZoneCheckAt = Never;
  for (const ZoneId &Zone : std::exchange(this->Unchecked, {}))
    if (!this->hasEngines(Zone))
      Out.log(logEvent(events::EvacuatedZoneUnknown)
                  .with("zone", Zone.Value)
                  .build());
}

void EvacuationPlugin::closeEngines(Actions &Out) const {
  CloseEngines Closed;
  for (const auto &[Engine, Zone] : this->EngineZones)
    if (this->isEvacuated(Zone))
      Closed.Engines.push_back(Engine);
  Out.add(GatewayAction(std::move(Closed)));
}

bool EvacuationPlugin::hasEngines(const ZoneId &Zone) const {
  return std::ranges::any_of(this->EngineZones, [&](const auto &Entry) {
    return Entry.second == Zone;
  });
}

void EvacuationPlugin::engineChanged(const RegisteredEngine &Engine, Time,
                                     Actions &Out) {
  const auto [Found, IsNew] =
      this->EngineZones.emplace(Engine.Record.Id, Engine.Record.Zone);
  // Nothing was dispatched to a new engine, so it need not be closed.
  if (IsNew || Found->second == Engine.Record.Zone)
    return;
  Found->second = Engine.Record.Zone;
  this->closeEngines(Out);
}

void EvacuationPlugin::engineRemoved(const UpstreamId &Id, Time, Actions &) {
  this->EngineZones.erase(Id);
}

void EvacuationPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->Records.all().size() <= MaxEvacuationRecords,
                  "evacuation records are bounded in number");
  Monitor.require(this->Records.evacuated() == this->Announced,
                  "every change of the evacuated zones was announced");
}

std::vector<SettingDeclaration> EvacuationPlugin::settings() {
  return {{"evacuation", "unknown_zone_after", SettingKind::Span, "5s",
           "So long after the start of an evacuation, a zone in which no "
           "engine is registered is logged as unknown.",
           0, 600e6}};
}

namespace {

const PluginRegistration
    Registration({"evacuation",
                  {},
                  EvacuationPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EvacuationPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
