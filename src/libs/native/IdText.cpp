#include "native/IdText.h"

#include <charconv>
#include <fmt/format.h>

namespace banyanpick {

std::string toHex(std::uint64_t Value) { return fmt::format("{:x}", Value); }

std::optional<std::uint64_t> fromHex(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParseEnd, Failure] = std::from_chars(Text.data(), End, Value, 16);
  if (Failure != std::errc() || ParseEnd != End)
    return std::nullopt;
  return Value;
}

} // namespace banyanpick
