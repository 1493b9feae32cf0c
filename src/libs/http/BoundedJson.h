/// \file
/// JSON from strangers, bounded in depth and count so that a small body can't
/// become a large document.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace banyanpick {

/// The most values (objects, arrays, members) of one document.
inline constexpr std::size_t MaxJsonValues = 1'000'000;
/// The same for what callers send, which is small but for long texts.
inline constexpr std::size_t MaxCallerJsonValues = 50'000;

/// Throws Error(BadInput) when \p Text is no JSON, too deep or has more than
/// \p MaxValues values.
nlohmann::json parseBoundedJson(std::string_view Text,
                                std::size_t MaxValues = MaxJsonValues);

/// Text of \p Value; bytes that are no UTF-8 are replaced.
std::string dumpJson(const nlohmann::json &Value);

} // namespace banyanpick
