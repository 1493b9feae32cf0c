/// \file
/// Base64 encoding with padding (RFC 4648).
#pragma once

#include <string>
#include <string_view>

namespace banyanpick {

/// Throws Error(BadInput) if the text is not valid base64.
std::string fromBase64(std::string_view Text);

std::string toBase64(std::string_view Bytes);

} // namespace banyanpick
