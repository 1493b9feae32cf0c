/// \file
/// Selects the entry hosts that append to the log. The log accepts a limited
/// number of appends per second, so in large deployments a few hosts append the
/// records of all.
#pragma once

#include "kernel/Services.h"

#include <cstddef>
#include <optional>

namespace banyanpick {

/// How this host's records reach the log.
struct AppendRoute {
  std::optional<HostId> Appender; ///< Absent: this host appends itself.
  std::size_t AppenderCount = 1;  ///< Hosts that share the append rate.
};

/// Returns the route for this host. The \p MaxAppenders hosts with the highest
/// rendezvous weights append. Every other host sends its records to one of
/// them, in its own zone if there is one. While hosts have different views of
/// the membership, more hosts append, never fewer.
AppendRoute appendRoute(const MembershipView &Members,
                        std::size_t MaxAppenders);

} // namespace banyanpick
