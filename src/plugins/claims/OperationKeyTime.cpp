/// \file
#include "plugins/claims/OperationKeyTime.h"

#include <charconv>
#include <string_view>

namespace banyanpick {

namespace {

/// The layout is `tttttttt-tttt-7xxx-vxxx-xxxxxxxxxxxx`, where t is the time in
/// milliseconds and v is one of 8, 9, a, b.
constexpr std::string_view Pattern = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx";
constexpr std::string_view Digits = "0123456789abcdefABCDEF";
constexpr std::string_view Variants = "89abAB";
constexpr std::size_t FirstGroupLength = 8;
constexpr std::size_t SecondGroupLength = 4;

bool matchesPattern(char Actual, char Expected) {
  if (Expected == 'x')
    return Digits.find(Actual) != std::string_view::npos;
  if (Expected == 'v')
    return Variants.find(Actual) != std::string_view::npos;
  return Actual == Expected;
}

} // namespace

std::optional<Time> creationTime(const OperationKey &Key) {
  const std::string_view Text = Key.Value;
  if (Text.size() != Pattern.size())
    return std::nullopt;
  for (std::size_t Index = 0; Index < Pattern.size(); ++Index) {
    if (!matchesPattern(Text[Index], Pattern[Index]))
      return std::nullopt;
  }
  const std::string Hex =
      std::string(Text.substr(0, FirstGroupLength)) +
      std::string(Text.substr(FirstGroupLength + 1, SecondGroupLength));
  std::int64_t Milliseconds = 0;
  std::from_chars(Hex.data(), Hex.data() + Hex.size(), Milliseconds, 16);
  return Time(milliseconds(Milliseconds));
}

} // namespace banyanpick
