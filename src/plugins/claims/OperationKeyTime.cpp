/// \file
#include "plugins/claims/OperationKeyTime.h"

#include <charconv>
#include <string_view>

namespace banyanpick {

namespace {

/// `tttttttt-tttt-7xxx-vxxx-xxxxxxxxxxxx` with v one of 8, 9, a, b.
constexpr std::string_view Pattern = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx";
constexpr std::string_view Digits = "0123456789abcdefABCDEF";
constexpr std::string_view Variants = "89abAB";
constexpr std::size_t FirstPart = 8;
constexpr std::size_t SecondPart = 4;

bool fits(char Given, char Wanted) {
  if (Wanted == 'x')
    return Digits.find(Given) != std::string_view::npos;
  if (Wanted == 'v')
    return Variants.find(Given) != std::string_view::npos;
  return Given == Wanted;
}

} // namespace

std::optional<Time> creationTime(const OperationKey &Key) {
  const std::string_view Text = Key.Value;
  if (Text.size() != Pattern.size())
    return std::nullopt;
  for (std::size_t At = 0; At < Pattern.size(); ++At) {
    if (!fits(Text[At], Pattern[At]))
      return std::nullopt;
  }
  const std::string Hex = std::string(Text.substr(0, FirstPart)) +
                          std::string(Text.substr(FirstPart + 1, SecondPart));
  std::int64_t Milliseconds = 0;
  std::from_chars(Hex.data(), Hex.data() + Hex.size(), Milliseconds, 16);
  return Time(milliseconds(Milliseconds));
}

} // namespace banyanpick
