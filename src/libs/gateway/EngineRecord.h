/// \file
/// What the service registry and the upstreams themselves tell of upstreams.
#pragma once

#include "gateway/Configuration.h"
#include "kernel/Upstream.h"

#include <string>
#include <vector>

namespace banyanpick {

/// One upstream as it registered itself. The id stands for one life of it (see
/// EngineLife.h); the address may be used again by another one later.
struct EngineRecord {
  UpstreamId Id;
  ServiceId Service;
  Address At;
  ZoneId Zone;
  std::uint32_t Slots = 1; ///< Requests that it serves at once.
  bool Draining = false;   ///< Takes no new requests.

  bool operator==(const EngineRecord &) const = default;
};

/// A change of one upstream's registration. The offset of the registry's log
/// orders changes of one upstream, whoever passes them on.
struct EngineChange {
  EngineRecord Engine;
  bool Removed = false;
  LogOffset Offset = 0;

  bool operator==(const EngineChange &) const = default;
};

/// Memory set aside on an engine, as the engine reports it.
struct EngineReservation {
  std::string Name;
  std::uint64_t Tokens = 0;
  bool Used = false;
  Duration Age{};

  bool operator==(const EngineReservation &) const = default;
};

/// An engine's own figures; as old as its report's lag.
struct EngineReport {
  UpstreamId Engine;
  std::uint32_t Waiting = 0;
  std::uint32_t Running = 0;
  std::uint64_t MemoryUsed = 0;  ///< Tokens that cannot be evicted.
  std::uint64_t MemoryTotal = 0; ///< Tokens.
  double Slowdown = 1; ///< How many times longer than declared its work takes.
  std::vector<EngineReservation> Reservations;

  bool operator==(const EngineReport &) const = default;
};

} // namespace banyanpick
