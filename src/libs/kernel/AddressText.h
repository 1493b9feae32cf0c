/// \file
/// Addresses as text.
#pragma once

#include "kernel/Upstream.h"

#include <string>
#include <string_view>

namespace banyanpick {

/// Reads `ip:port`, with brackets around an IPv6 number. Throws
/// Error(BadInput) when it is none.
Address addressFromText(std::string_view Text);

/// The inverse of addressFromText().
std::string text(const Address &At);

} // namespace banyanpick
