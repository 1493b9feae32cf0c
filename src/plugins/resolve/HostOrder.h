/// \file
/// The order in which callers are told the entry hosts.
#pragma once

#include "kernel/TeamHosts.h"
#include "kernel/Upstream.h"

#include <string_view>

namespace banyanpick {

/// An entry host that callers may be sent to.
struct CallerHost {
  HostId Host;
  ZoneId Zone;
  Address Callers;

  bool operator==(const CallerHost &) const = default;
};

/// At most \p Most of the hosts: those of the nearest zone first, in an order
/// that \p Key shuffles, so that callers spread; the last place goes to a host
/// of another zone when there is one, for callers whose zone is lost.
std::vector<Address> orderHosts(std::span<const CallerHost> Hosts,
                                const ZoneId &Nearest, std::string_view Key,
                                std::size_t MaxCount);

} // namespace banyanpick
