/// \file
/// What upstreams say of themselves, out of JSON.
#pragma once

#include "kernel/Event.h"

#include <string_view>

namespace banyanpick {

/// Throws Error(BadInput) when the body of `GET /load` is malformed.
LoadReport loadReportFromJson(std::string_view Body);

/// The events of `GET /cache-events`; the same.
CacheEventsReported cacheEventsFromJson(std::string_view Body,
                                        const UpstreamId &From);

} // namespace banyanpick
