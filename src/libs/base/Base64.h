/// \file
/// Bytes as base64 with padding (RFC 4648).
#pragma once

#include <string>
#include <string_view>

namespace banyanpick {

/// Throws Error(BadInput) when it is none.
std::string fromBase64(std::string_view Text);

std::string toBase64(std::string_view Bytes);

} // namespace banyanpick
