/// \file
/// Documents made smaller for the way between hosts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// The document in the deflate format. Equal documents give equal bytes.
std::string packDocument(std::string_view Document);

/// The document again; nothing when the bytes are none, or when it would be
/// larger than \p MostBytes.
std::optional<std::string> unpackDocument(std::string_view Packed,
                                          std::size_t MostBytes);

} // namespace banyanpick
