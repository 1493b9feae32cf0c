/// \file
/// Compresses documents that are sent between hosts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// Returns the document in the deflate format. Equal documents give equal
/// bytes.
std::string compressDocument(std::string_view Document);

/// Returns the decompressed document, or nothing when the bytes are malformed
/// or the document would be larger than \p MaxBytes.
std::optional<std::string> decompressDocument(std::string_view Compressed,
                                              std::size_t MaxBytes);

} // namespace banyanpick
