#include "app/MemoryGauges.h"

#include <fstream>
#include <malloc.h>
#include <string>
#include <unistd.h>

namespace banyanpick {

ProcessMemory readProcessMemory() {
  ProcessMemory Result;
  std::uint64_t TotalPages = 0;
  std::uint64_t ResidentPages = 0;
  std::ifstream Statistics("/proc/self/statm");
  if (Statistics >> TotalPages >> ResidentPages)
    Result.Resident =
        ResidentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  const struct mallinfo2 Allocator = mallinfo2();
  Result.AllocatorUsed = Allocator.uordblks + Allocator.hblkhd;
  Result.AllocatorFree = Allocator.fordblks;
  return Result;
}

void recordMemory(Metrics &HostMetrics, std::string_view Owner,
                  std::uint64_t Bytes) {
  HostMetrics.record({RecordMeasurement::Kind::Gauge, "memory_bytes",
                      std::string(Owner), static_cast<double>(Bytes)});
}

void recordMemory(Metrics &HostMetrics, const ProcessMemory &Process) {
  recordMemory(HostMetrics, "resident", Process.Resident);
  recordMemory(HostMetrics, "allocator_used", Process.AllocatorUsed);
  recordMemory(HostMetrics, "allocator_free", Process.AllocatorFree);
}

} // namespace banyanpick
