/// \file
/// The faults that a soak injects, with their times.
#pragma once

#include "soak/LoopbackProxy.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick::soak {

/// A host is asked to stop and is started again after it has stopped.
struct HostStopped {
  std::size_t Host = 0;
};
/// A host gets SIGHUP and reads its settings again.
struct HostReloaded {
  std::size_t Host = 0;
};
/// A host is killed and is started again when the fault ends.
struct HostKilled {
  std::size_t Host = 0;
};
/// A host is suspended and gets no processor time.
struct HostPaused {
  std::size_t Host = 0;
};
/// An upstream is killed. When the fault ends, another one starts at its
/// address.
struct UpstreamKilled {
  std::size_t Upstream = 0;
};
struct UpstreamPaused {
  std::size_t Upstream = 0;
};
/// The store refuses all requests.
struct StoreRefusing {};
struct StorePaused {};
/// The store drops the history of its topics by compaction.
struct StoreCompacted {};
/// The connection of a host to the store fails.
struct StoreLinkFailed {
  std::size_t Host = 0;
  LinkFault Fault;
};
struct UpstreamLinkFailed {
  std::size_t Upstream = 0;
  LinkFault Fault;
};
struct CallerLinkFailed {
  std::size_t Host = 0;
  LinkFault Fault;
};
/// The operator writes the next version of the configuration, with or without
/// the extra route.
struct ConfigurationChanged {
  bool WithExtra = false;
};

using Disruption =
    std::variant<HostStopped, HostReloaded, HostKilled, HostPaused,
                 UpstreamKilled, UpstreamPaused, StoreRefusing, StorePaused,
                 StoreCompacted, StoreLinkFailed, UpstreamLinkFailed,
                 CallerLinkFailed, ConfigurationChanged>;

struct PlannedFault {
  Duration StartAt{}; ///< Since the start of the soak.
  Duration Length{};  ///< Until the fault is undone.
  Disruption Fault;
};

/// Returns the fault with its target, for the report.
std::string describe(const Disruption &Fault);

/// Whether the fault may interrupt or delay a request to \p Host: a kill or
/// pause of the host, a failed link to its callers or, for a stream, the same
/// faults of an upstream. All other requests get a final answer in time,
/// whatever fails behind the host, and also when the host is asked to stop.
bool mayBreakRequests(const Disruption &Fault, std::size_t Host, bool IsStream);

/// Returns bursts of overlapping faults; with every third seed, only planned
/// work and failures of the store. The plan depends only on \p Seed and
/// the sizes, and ends some time before \p Length.
std::vector<PlannedFault> planFaults(std::uint64_t Seed, Duration Length,
                                     std::size_t Hosts, std::size_t Upstreams);

} // namespace banyanpick::soak
