/// \file
/// Orders the entry hosts in a resolve answer.
#pragma once

#include "kernel/TeamHosts.h"
#include "kernel/Upstream.h"

#include <string_view>

namespace banyanpick {

/// An entry host that may be returned to callers.
struct CallerHost {
  HostId Host;
  ZoneId Zone;
  Address Callers;

  bool operator==(const CallerHost &) const = default;
};

/// Returns at most \p MaxCount of the hosts, those of the nearest zone first.
/// \p Key shuffles the order, so that callers are spread over the hosts. The
/// last host is from another zone if there is one, for callers whose zone
/// fails.
std::vector<Address> orderHosts(std::span<const CallerHost> Hosts,
                                const ZoneId &Nearest, std::string_view Key,
                                std::size_t MaxCount);

} // namespace banyanpick
