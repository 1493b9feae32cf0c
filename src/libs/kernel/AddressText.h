/// \file
/// Conversion of addresses from and to text.
#pragma once

#include "kernel/Upstream.h"

#include <string>
#include <string_view>

namespace banyanpick {

/// Parses `ip:port`. An IPv6 address is enclosed in brackets. Throws
/// Error(BadInput) if the text is malformed.
Address addressFromText(std::string_view Text);

/// The inverse of addressFromText().
std::string text(const Address &At);

} // namespace banyanpick
