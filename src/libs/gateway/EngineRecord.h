/// \file
/// Data about upstreams from the service registry and from their own reports.
#pragma once

#include "gateway/Configuration.h"
#include "kernel/Upstream.h"

#include <string>
#include <vector>

namespace banyanpick {

/// The registration of an upstream. The id identifies one incarnation (see
/// EngineIncarnation.h). Another upstream may use the address later.
struct EngineRecord {
  UpstreamId Id;
  ServiceId Service;
  Address At;
  ZoneId Zone;
  std::uint32_t Slots = 1; ///< Maximum number of concurrent requests.
  bool Draining = false;   ///< Accepts no new requests.
  /// How long the engine remained cold when the registration was written or
  /// relayed; zero: it is not cold.
  Duration ColdFor{};
  /// The remaining cold time could not be read, so the engine counts as cold
  /// for the time that its service declares.
  bool ColdUnreadable = false;

  bool isCold() const {
    return this->ColdUnreadable || this->ColdFor > Duration(0);
  }

  bool operator==(const EngineRecord &) const = default;
};

/// A change of an upstream's registration. The offset in the registry's log
/// orders the changes of one upstream, independent of which host forwards them.
struct EngineChange {
  EngineRecord Engine;
  bool Removed = false;
  LogOffset Offset = 0;

  bool operator==(const EngineChange &) const = default;
};

/// Memory reserved on an engine, as reported by the engine.
struct EngineReservation {
  std::string Name;
  std::uint64_t Tokens = 0;
  bool Used = false;
  Duration Age{};

  bool operator==(const EngineReservation &) const = default;
};

/// The load that an engine reports. Its age is the engine's report lag.
struct EngineReport {
  UpstreamId Engine;
  std::uint32_t Waiting = 0;
  std::uint32_t Running = 0;
  std::uint64_t MemoryUsed = 0;  ///< Tokens that cannot be evicted.
  std::uint64_t MemoryTotal = 0; ///< Capacity in tokens.
  double Slowdown = 1;           ///< Actual time divided by declared time.
  std::vector<EngineReservation> Reservations;

  bool operator==(const EngineReport &) const = default;
};

} // namespace banyanpick
