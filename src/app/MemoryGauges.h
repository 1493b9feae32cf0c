/// \file
/// Measures the memory of the process and of the queues that can grow.
#pragma once

#include "metrics/Metrics.h"

#include <cstdint>
#include <string_view>

namespace banyanpick {

/// The memory of the process, in bytes.
struct ProcessMemory {
  std::uint64_t Resident = 0;      ///< 0: unknown.
  std::uint64_t AllocatorUsed = 0; ///< Allocated and not freed.
  std::uint64_t AllocatorFree = 0; ///< Freed and not returned to the system.
};

/// Reads the current use from the system and the allocator.
ProcessMemory readProcessMemory();

/// Sets the gauge `memory_bytes` of one owner.
void recordMemory(Metrics &HostMetrics, std::string_view Owner,
                  std::uint64_t Bytes);

/// Sets the gauges of the process itself.
void recordMemory(Metrics &HostMetrics, const ProcessMemory &Process);

} // namespace banyanpick
