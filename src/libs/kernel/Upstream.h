/// \file
/// Data about upstreams: host list entries, load reports, cache events and
/// memory holds.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanpick {

enum class UpstreamKind { Engine, Application };

/// A listening address: an IP address and a port.
struct Address {
  std::string Ip;
  std::uint16_t Port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const Address &) const = default;
};

/// The host list's entry for an upstream.
struct UpstreamListing {
  UpstreamId Id;
  Incarnation Life;
  UpstreamKind Kind = UpstreamKind::Engine;
  Address At;
  ZoneId Zone;
  std::string Application;    ///< Service name of an application engine.
  bool ChecksFencing = false; ///< Refuses orders with a stale fencing number.
  bool Leaving = false;

  bool operator==(const UpstreamListing &) const = default;
};

/// The processor capacity of a host.
struct ProcessorShare {
  std::uint32_t Thousandths = 1000; ///< Of one core.

  bool operator==(const ProcessorShare &) const = default;
};

/// The host list's entry for an entry host.
struct HostListing {
  HostId Id;
  ZoneId Zone;
  Address Callers; ///< Where callers connect.
  Address Peers;   ///< Where other entry hosts connect.
  bool Leaving = false;
  ProcessorShare Processor;

  bool operator==(const HostListing &) const = default;
};

enum class HoldKind { Stream, GroupHold, Export };

/// Memory that an engine holds for an owner, as reported by the engine.
struct HoldReport {
  HoldKind Kind = HoldKind::Stream;
  std::uint64_t OwnerLife = 0; ///< Incarnation of the entry host.
  std::uint64_t Sequence = 0;  ///< Forms an AttemptId or HoldId with OwnerLife.
  std::string OwnerHost;       ///< Name of the entry host.
  std::uint64_t Tokens = 0;    ///< Memory size in tokens.
  Time Deadline{};             ///< When the owner expects it to be freed.

  bool operator==(const HoldReport &) const = default;
};

/// Outstanding prefill work of an engine at one priority.
struct PriorityBacklog {
  std::uint32_t Priority = 0;
  std::uint64_t PrefillTokens = 0;

  bool operator==(const PriorityBacklog &) const = default;
};

/// The load that an upstream reports; older than its actual state.
struct LoadReport {
  UpstreamId Id;
  Incarnation Life;
  Time MeasuredAt{};
  bool Leaving = false;
  std::uint32_t Running = 0;             ///< Requests in the batch.
  std::uint32_t Queued = 0;              ///< Waiting requests.
  std::uint64_t QueuedPrefillTokens = 0; ///< Outstanding prefill work.
  std::uint64_t MemoryTokens = 0;        ///< Total KV cache memory.
  std::uint64_t FreeMemoryTokens = 0;    ///< Not used by running requests.
  double PrefillTokensPerSecond = 0;     ///< Measured by the engine.
  double DecodeTokensPerSecond = 0;      ///< Per running request, measured.
  LogOffset HighestFencing = 0;          ///< Highest fencing number received.
  std::vector<ModelId> Models;           ///< Currently loaded.
  std::vector<HoldReport> Holds;
  /// QueuedPrefillTokens by priority; empty when the engine does not report it.
  std::vector<PriorityBacklog> Backlog;

  bool operator==(const LoadReport &) const = default;
};

/// A cached prompt block was stored or removed.
struct CacheEvent {
  std::uint64_t Sequence = 0; ///< Increments by one; a jump means lost events.
  bool Stored = false;        ///< False: removed.
  BlockHash Block = 0;

  bool operator==(const CacheEvent &) const = default;
};

} // namespace banyanpick
