/// \file
/// What is known of upstreams: the host list's word, load reports, cache
/// events and the memory they hold.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanpick {

enum class UpstreamKind { Engine, Application };

/// Where something listens: an IP number and a port.
struct Address {
  std::string Ip;
  std::uint16_t Port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const Address &) const = default;
};

/// One upstream as the host list shows it.
struct UpstreamListing {
  UpstreamId Id;
  Incarnation Life;
  UpstreamKind Kind = UpstreamKind::Engine;
  Address At;
  ZoneId Zone;
  std::string Application;    ///< Service name, when an application engine.
  bool ChecksFencing = false; ///< Refuses orders with an old fencing number.
  bool Leaving = false;

  bool operator==(const UpstreamListing &) const = default;
};

/// How much processor a host has.
struct ProcessorShare {
  std::uint32_t Thousandths = 1000; ///< Of one core.

  bool operator==(const ProcessorShare &) const = default;
};

/// One entry host as the host list shows it.
struct HostListing {
  HostId Id;
  ZoneId Zone;
  Address Callers; ///< Where callers connect.
  Address Peers;   ///< Where the other entry hosts connect.
  bool Leaving = false;
  ProcessorShare Processor;

  bool operator==(const HostListing &) const = default;
};

enum class HoldKind { Stream, GroupHold, Export };

/// Memory an engine holds for somebody, as the engine reports it.
struct HoldReport {
  HoldKind Kind = HoldKind::Stream;
  std::uint64_t OwnerLife = 0; ///< Incarnation of the entry host.
  std::uint64_t Sequence = 0;  ///< With OwnerLife: AttemptId or HoldId.
  std::string OwnerHost;       ///< Name of the entry host.
  std::uint64_t Tokens = 0;    ///< Memory taken, in tokens.
  Time Deadline{};             ///< When the owner itself wanted it gone.

  bool operator==(const HoldReport &) const = default;
};

/// Prefill that an engine has still to do at one priority.
struct PriorityBacklog {
  std::uint32_t Priority = 0;
  std::uint64_t PrefillTokens = 0;

  bool operator==(const PriorityBacklog &) const = default;
};

/// What an upstream says of itself; lags behind the truth.
struct LoadReport {
  UpstreamId Id;
  Incarnation Life;
  Time MeasuredAt{};
  bool Leaving = false;
  std::uint32_t Running = 0;             ///< Requests in the batch.
  std::uint32_t Queued = 0;              ///< Requests waiting.
  std::uint64_t QueuedPrefillTokens = 0; ///< Prefill still to do.
  std::uint64_t MemoryTokens = 0;        ///< KV memory in all.
  std::uint64_t FreeMemoryTokens = 0;    ///< Not held by anything running.
  double PrefillTokensPerSecond = 0;     ///< Measured by the engine.
  double DecodeTokensPerSecond = 0;      ///< Per running request, measured.
  LogOffset HighestFencing = 0;          ///< Highest order number seen.
  std::vector<ModelId> Models;           ///< Loaded now.
  std::vector<HoldReport> Holds;
  /// QueuedPrefillTokens by priority; empty when the engine does not tell.
  std::vector<PriorityBacklog> Backlog;

  bool operator==(const LoadReport &) const = default;
};

/// One cached prompt block stored or removed.
struct CacheEvent {
  std::uint64_t Sequence = 0; ///< Rises by one; a jump means a gap.
  bool Stored = false;        ///< false: removed.
  BlockHash Block = 0;

  bool operator==(const CacheEvent &) const = default;
};

} // namespace banyanpick
