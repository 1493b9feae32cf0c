/// \file
/// Which faults a soak injects, and when.
#pragma once

#include "soak/LoopbackProxy.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick::soak {

/// A host is asked to stop, and started again once it has.
struct HostStopped {
  std::size_t Host = 0;
};
/// A host is killed, and started again at the end.
struct HostKilled {
  std::size_t Host = 0;
};
/// A host gets no processor time.
struct HostPaused {
  std::size_t Host = 0;
};
/// An upstream is killed; another one takes its address at the end.
struct UpstreamKilled {
  std::size_t Upstream = 0;
};
struct UpstreamPaused {
  std::size_t Upstream = 0;
};
/// The store refuses everything.
struct StoreRefusing {};
struct StorePaused {};
/// The store drops the history of its topics.
struct StoreCompacted {};
/// What a host hears of the store.
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
/// The operator writes the next version, with or without the extra route.
struct ConfigurationChanged {
  bool WithExtra = false;
};

using Disruption =
    std::variant<HostStopped, HostKilled, HostPaused, UpstreamKilled,
                 UpstreamPaused, StoreRefusing, StorePaused, StoreCompacted,
                 StoreLinkFailed, UpstreamLinkFailed, CallerLinkFailed,
                 ConfigurationChanged>;

struct PlannedFault {
  Duration StartAt{}; ///< From the soak's start.
  Duration Length{};  ///< Until what it did is undone.
  Disruption Fault;
};

/// For the report: the fault with its target.
std::string describe(const Disruption &Fault);

/// Whether a request to the host may be broken off, or answered late, because
/// of it: its own host's end, or, for a stream, its upstream's. Everything else
/// gets a final answer in time whatever happens behind the host.
bool mayBreakRequests(const Disruption &Fault, std::size_t Host, bool IsStream);

/// Bursts of faults that overlap, drawn from the seed; the same seed gives the
/// same plan. Ends some time before \p Length.
std::vector<PlannedFault> planFaults(std::uint64_t Seed, Duration Length,
                                     std::size_t Hosts, std::size_t Upstreams);

} // namespace banyanpick::soak
