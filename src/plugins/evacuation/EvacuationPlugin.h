/// \file
/// The plug-in that follows the operators' evacuations of zones.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/evacuation/EvacuationRecords.h"

#include <map>

namespace banyanpick {

/// Knows the evacuated zones. The records come from the store or, on hosts that
/// do not read it, from the heartbeats of peers, which carry all of them. A
/// host that receives nothing keeps what it knew.
class EvacuationPlugin : public Plugin,
                         public EvacuationView,
                         public EngineObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &Received, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->ZoneCheckAt; }
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  bool isEvacuated(const ZoneId &Zone) const override {
    return this->Records.isEvacuated(Zone);
  }
  std::vector<EvacuationRecord> records() const override {
    return this->Records.all();
  }
  std::uint64_t changeCount() const override { return this->Changes; }

  void engineChanged(const RegisteredEngine &Engine, Time Now,
                     Actions &Out) override;
  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  void takeStored(const EvacuationsRead &Read, Time Now, Actions &Out);
  void takePeer(const HostId &From, std::span<const EvacuationRecord> Sent,
                Time Now, Actions &Out);
  void note(const EvacuationRecord &Record, EvacuationRecords::Result Result,
            Actions &Out);
  /// Logs which zones are evacuated or used again since the last call.
  void announceChanges(std::string_view From, Time Now, Actions &Out);
  void logUnknownZones(Actions &Out);
  /// Closes or opens the engines for what the traffic thread still has to send.
  void closeEngines(Actions &Out) const;
  bool hasEngines(const ZoneId &Zone) const;

  Duration UnknownZoneAfter{};
  EvacuationRecords Records;
  std::vector<ZoneId> Announced; ///< The evacuated zones that were logged.
  /// Evacuated zones for which it was not checked yet whether they have
  /// engines.
  std::vector<ZoneId> Unchecked;
  std::map<UpstreamId, ZoneId> EngineZones;
  std::uint64_t Changes = 0;
  Time ZoneCheckAt = Never;
};

} // namespace banyanpick
