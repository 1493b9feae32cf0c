#include "settings/SettingValue.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <span>

namespace banyanpick {

namespace {

struct Unit {
  std::string_view Suffix;
  double Factor;
};

constexpr std::array<Unit, 5> SpanUnits{
    {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}}};
constexpr std::array<Unit, 4> SizeUnits{
    {{"", 1}, {"KB", 1024}, {"MB", 1024 * 1024}, {"GB", 1024.0 * 1024 * 1024}}};

std::optional<double> parseWithUnit(std::string_view Text,
                                    std::span<const Unit> Units) {
  double Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Failure] = std::from_chars(Text.data(), End, Number);
  if (Failure != std::errc() || !std::isfinite(Number))
    return std::nullopt;
  const std::string_view Suffix(ParsedEnd,
                                static_cast<std::size_t>(End - ParsedEnd));
  const auto Found =
      std::find_if(Units.begin(), Units.end(), [&](const Unit &Candidate) {
        return Candidate.Suffix == Suffix;
      });
  if (Found == Units.end())
    return std::nullopt;
  return Number * Found->Factor;
}

bool isAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return false;
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Failure] =
      std::from_chars(Text.data() + Colon + 1, End, Port);
  const bool IpNumber =
      Text.substr(0, Colon).find_first_not_of("0123456789abcdefABCDEF.:[]") ==
      std::string_view::npos;
  return Failure == std::errc() && ParsedEnd == End && Port <= 65535 &&
         IpNumber;
}

/// Formats the number in the largest unit that divides it without a remainder.
std::string textWithUnit(SettingKind Kind, double Number) {
  std::span<const Unit> Units;
  if (Kind == SettingKind::Span)
    Units = SpanUnits;
  if (Kind == SettingKind::Size)
    Units = SizeUnits;
  if (Kind == SettingKind::Span && Number == 0)
    return "0s";
  std::string Result = numberText(Number);
  for (const Unit &Candidate : Units) {
    const double Count = Number / Candidate.Factor;
    const bool Divides = Count == std::floor(Count);
    if (Divides && (Count >= 1 || Candidate.Factor == 1))
      Result = numberText(Count) + std::string(Candidate.Suffix);
  }
  return Result;
}

} // namespace

std::string numberText(double Number) {
  constexpr double LargestWhole = 1e18;
  if (Number == std::floor(Number) && std::abs(Number) < LargestWhole)
    return std::to_string(static_cast<long long>(Number));
  return fmt::format("{}", Number);
}

std::optional<double> parseNumber(SettingKind Kind, std::string_view Text) {
  constexpr std::array<Unit, 1> Plain{{{"", 1}}};
  switch (Kind) {
  case SettingKind::Whole: {
    const auto Number = parseWithUnit(Text, Plain);
    return Number && *Number == std::floor(*Number) ? Number : std::nullopt;
  }
  case SettingKind::Fraction:
    return parseWithUnit(Text, Plain);
  case SettingKind::Span:
    return parseWithUnit(Text, SpanUnits);
  case SettingKind::Size:
    return parseWithUnit(Text, SizeUnits);
  case SettingKind::Flag:
    if (Text == "true")
      return 1;
    return Text == "false" ? std::optional<double>(0) : std::nullopt;
  default:
    return std::nullopt;
  }
}

std::string allowedValues(const SettingDeclaration &Declaration) {
  const std::string Range = fmt::format(
      "{} to {}", textWithUnit(Declaration.Kind, Declaration.Minimum),
      textWithUnit(Declaration.Kind, Declaration.Maximum));
  switch (Declaration.Kind) {
  case SettingKind::Text:
    return "any text";
  case SettingKind::Whole:
    return "a whole number, " + Range;
  case SettingKind::Fraction:
    return "a number, " + Range;
  case SettingKind::Span:
    return "a duration such as 20ms, " + Range;
  case SettingKind::Size:
    return "a size in bytes such as 64KB, " + Range;
  case SettingKind::Flag:
    return "true or false";
  case SettingKind::Address:
    return "an address such as 127.0.0.1:8080";
  case SettingKind::Choice:
    return fmt::format("one of {}", fmt::join(Declaration.Choices, ", "));
  }
  return "";
}

std::string problemWith(const SettingDeclaration &Declaration,
                        std::string_view Text) {
  const auto ErrorText = [&] {
    return fmt::format("'{}' is not allowed; give {}", Text,
                       allowedValues(Declaration));
  };
  switch (Declaration.Kind) {
  case SettingKind::Text:
    return "";
  case SettingKind::Address:
    return isAddress(Text) ? "" : ErrorText();
  case SettingKind::Choice: {
    const auto &Choices = Declaration.Choices;
    const bool IsChoice =
        std::find(Choices.begin(), Choices.end(), Text) != Choices.end();
    return IsChoice ? "" : ErrorText();
  }
  default:
    break;
  }
  const auto Number = parseNumber(Declaration.Kind, Text);
  const bool Flag = Declaration.Kind == SettingKind::Flag;
  if (!Number || (!Flag && (*Number < Declaration.Minimum ||
                            *Number > Declaration.Maximum)))
    return ErrorText();
  return "";
}

} // namespace banyanpick
