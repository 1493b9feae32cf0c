/// \file
/// Parses the load reports and cache events of upstreams from JSON.
#pragma once

#include "kernel/Event.h"

#include <string_view>

namespace banyanpick {

/// Parses the body of `GET /load`. Throws Error(BadInput) if it is malformed.
LoadReport loadReportFromJson(std::string_view Body);

/// Parses the body of `GET /cache-events`. Throws Error(BadInput) if it is
/// malformed.
CacheEventsReported cacheEventsFromJson(std::string_view Body,
                                        const UpstreamId &From);

} // namespace banyanpick
