/// \file
/// Which entry hosts append to the log for the others. The log takes only so
/// many appends a second; with many hosts, a few gather the records of all.
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

/// The hosts with the highest rendezvous weights append, \p Most of them; each
/// other host hands its records to one of these, in its own zone where there
/// is one. Views that differ for a moment make more hosts append, never fewer.
AppendRoute appendRoute(const MembershipView &Members,
                        std::size_t MaxAppenders);

} // namespace banyanpick
