/// \file
/// Values of settings with units, as text and as numbers.
#pragma once

#include "settings/SettingDeclaration.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// The number that \p Text stands for under \p Kind (microseconds for spans,
/// bytes for sizes, 0 or 1 for flags), or nothing when it is malformed.
std::optional<double> parseNumber(SettingKind Kind, std::string_view Text);

/// The number without an exponent when it is whole.
std::string numberText(double Number);

/// What is wrong with \p Text as a value of \p Declaration, with the allowed
/// values and the remedy; empty when it is right.
std::string problemWith(const SettingDeclaration &Declaration,
                        std::string_view Text);

/// The allowed values in words, such as `a duration like 20ms, 0s to 1min`.
std::string allowedValues(const SettingDeclaration &Declaration);

} // namespace banyanpick
