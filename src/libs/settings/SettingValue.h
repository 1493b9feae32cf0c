/// \file
/// Parses, formats and checks the values of settings, with their units.
#pragma once

#include "settings/SettingDeclaration.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// Parses \p Text as a number of the given kind: microseconds for spans, bytes
/// for sizes, 0 or 1 for flags. Returns nothing when the text is malformed.
std::optional<double> parseNumber(SettingKind Kind, std::string_view Text);

/// Formats the number, without an exponent when it is a whole number.
std::string numberText(double Number);

/// Returns why \p Text is not a valid value of \p Declaration, with the allowed
/// values and the remedy, or an empty string when it is valid.
std::string problemWith(const SettingDeclaration &Declaration,
                        std::string_view Text);

/// Describes the allowed values, such as `a duration such as 20ms, 0s to 1min`.
std::string allowedValues(const SettingDeclaration &Declaration);

} // namespace banyanpick
