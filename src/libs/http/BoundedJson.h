/// \file
/// Parses JSON from untrusted sources. Depth and number of values are limited,
/// so that a small body can't become a large document in memory.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace banyanpick {

/// Maximum number of values (objects, arrays, members) in one document.
inline constexpr std::size_t MaxJsonValues = 1'000'000;
/// The same limit for documents from callers, which contain few values besides
/// long texts.
inline constexpr std::size_t MaxCallerJsonValues = 50'000;

/// Throws Error(BadInput) if \p Text is not JSON, is too deep or has more than
/// \p MaxValues values.
nlohmann::json parseBoundedJson(std::string_view Text,
                                std::size_t MaxValues = MaxJsonValues);

/// Returns the JSON text of \p Value. Bytes that are not valid UTF-8 are
/// replaced.
std::string dumpJson(const nlohmann::json &Value);

} // namespace banyanpick
