/// \file
/// Helper functions for text.
#pragma once

#include <string_view>

namespace banyanpick {

/// Returns \p Text without leading and trailing blanks and line breaks.
inline std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Blanks = " \t\r\n";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

} // namespace banyanpick
