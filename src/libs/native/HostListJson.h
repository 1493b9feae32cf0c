/// \file
/// The host list out of JSON.
#pragma once

#include "kernel/Event.h"

#include <string_view>

namespace banyanpick {

/// Throws Error(BadInput) when the body of `GET /hosts` is malformed.
HostListRead hostListFromJson(std::string_view Body);

} // namespace banyanpick
