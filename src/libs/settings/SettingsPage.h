/// \file
/// Generates the Markdown reference of settings from their declarations.
#pragma once

#include "settings/SettingDeclaration.h"

#include <span>
#include <string>

namespace banyanpick {

/// Returns the page with one table for each section. Sections are ordered by
/// name, keys by declaration.
std::string settingsPage(std::span<const SettingDeclaration> Declarations);

/// Escapes \p Text for a cell of a Markdown table.
std::string tableCell(std::string_view Text);

} // namespace banyanpick
