/// \file
/// Parses the host list from JSON.
#pragma once

#include "kernel/Event.h"

#include <string_view>

namespace banyanpick {

/// Parses the body of `GET /hosts`. Throws Error(BadInput) if it is malformed.
HostListRead hostListFromJson(std::string_view Body);

} // namespace banyanpick
