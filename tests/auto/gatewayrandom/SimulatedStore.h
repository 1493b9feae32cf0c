/// \file
/// The store of a simulated deployment of gateways.
#pragma once

#include "gateway/GatewayEvent.h"

#include <map>
#include <vector>

namespace banyanpick {

/// The configuration version and the registry of upstreams.
class SimulatedStore {
public:
  void declare() { ++this->Version; }
  std::uint64_t version() const { return this->Version; }

  /// Writes or removes the record that evacuates the zone.
  void evacuate(const ZoneId &Zone, bool Active);
  bool isEvacuated(const ZoneId &Zone) const;
  LogOffset evacuationsEnd() const { return this->Evacuations.size(); }
  /// Returns the evacuation records from the offset on, or only the newest of
  /// each zone that is not removed, if \p List is set.
  EvacuationsRead readEvacuations(LogOffset From, bool List) const;

  void registerEngine(const EngineRecord &Engine);
  void removeEngine(const UpstreamId &Engine);
  const std::map<UpstreamId, EngineChange> &engines() const {
    return this->Engines;
  }
  LogOffset end() const { return this->Changes.size(); }

  /// Returns all current registrations.
  EnginesRead list() const;
  /// Returns the changes from the offset on.
  EnginesRead readFrom(LogOffset From) const;

  bool Down = false; ///< The store does not answer.

private:
  void append(EngineChange Change);

  std::uint64_t Version = 1;
  std::vector<EvacuationRecord> Evacuations;
  std::vector<EngineChange> Changes;
  std::map<UpstreamId, EngineChange> Engines;
};

} // namespace banyanpick
