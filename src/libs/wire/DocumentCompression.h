/// \file
/// Documents made smaller for the way between hosts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// The document in the deflate format. Equal documents give equal bytes.
std::string compressDocument(std::string_view Document);

/// The document again; nothing when the bytes are none, or when it would be
/// larger than \p MaxBytes.
std::optional<std::string> decompressDocument(std::string_view Packed,
                                              std::size_t MaxBytes);

} // namespace banyanpick
